/*
 * Collects one answer from the parser.
 */
package org.cardamomwharf.forward.server

import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpParser
import org.eclipse.jetty.http.HttpVersion
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer

internal class AnswerReader(private val largestBytes: Int) : HttpParser.ResponseHandler {
    var status = 0
        private set
    var fields: HttpFields.Mutable = HttpFields.build()
        private set
    var failure: CallFailure? = null
        private set
    var isWhole = false
        private set
    var version: HttpVersion = HttpVersion.HTTP_1_1
        private set
    var body = ByteArrayOutputStream()
        private set

    fun reset() {
        status = 0
        fields = HttpFields.build()
        failure = null
        isWhole = false
        body = ByteArrayOutputStream()
    }

    override fun startResponse(version: HttpVersion, status: Int, reason: String?) {
        this.version = version
        this.status = status
    }

    override fun parsedHeader(field: HttpField) {
        fields.add(field)
    }

    override fun headerComplete(): Boolean = false

    override fun content(buffer: ByteBuffer): Boolean {
        if (body.size() + buffer.remaining() > largestBytes) {
            failure = CallFailure.TOO_LARGE
            return true
        }
        val bytes = ByteArray(buffer.remaining())
        buffer.get(bytes)
        body.writeBytes(bytes)
        return false
    }

    override fun contentComplete(): Boolean = false

    override fun messageComplete(): Boolean {
        isWhole = true
        return true
    }

    override fun earlyEOF() {
        failure = CallFailure.TRUNCATED
    }

    override fun badMessage(failure: HttpException) {
        this.failure = CallFailure.MALFORMED
    }
}
