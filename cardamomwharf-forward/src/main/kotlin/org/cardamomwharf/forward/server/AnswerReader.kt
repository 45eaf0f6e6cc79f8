/*
 * Collects one answer from the parser and checks whose it is. An answer that names another request is skipped: a backend
 * server may send an answer twice, and the second one then stands where the next answer is expected.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.forward.FieldNames
import org.cardamomwharf.steering.servers.LoadReport
import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
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
    var isHeadRead = false
        private set
    private var version = HttpVersion.HTTP_1_1
    private var body = ByteArrayOutputStream()

    fun reset() {
        status = 0
        fields = HttpFields.build()
        failure = null
        isWhole = false
        isHeadRead = false
        body = ByteArrayOutputStream()
    }

    override fun startResponse(version: HttpVersion, status: Int, reason: String?) {
        this.version = version
        this.status = status
    }

    override fun parsedHeader(field: HttpField) {
        fields.add(field)
    }

    override fun headerComplete(): Boolean {
        isHeadRead = true
        return false
    }

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

    /** True when the connection may carry another request after this answer. */
    fun isPersistent(): Boolean {
        val isClosing = fields.contains(HttpHeader.CONNECTION, "close")
        val isFramed = fields.contains(HttpHeader.CONTENT_LENGTH) || fields.contains(HttpHeader.TRANSFER_ENCODING)
        return version == HttpVersion.HTTP_1_1 && !isClosing && isFramed
    }

    fun toAnswer(): ServerAnswer = ServerAnswer(status, fields.asImmutable(), body.toByteArray(), readReport())

    private fun readReport(): LoadReport? {
        val parts = fields.get(FieldNames.SERVER_LOAD)?.split(',')?.map { it.trim().toIntOrNull() ?: return null }
        return if (parts?.size == REPORT_PARTS) LoadReport(parts[0], parts[1], parts[2]) else null
    }

    private companion object {
        const val REPORT_PARTS = 3
    }
}
