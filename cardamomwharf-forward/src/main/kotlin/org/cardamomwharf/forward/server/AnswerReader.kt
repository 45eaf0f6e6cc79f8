/*
 * Collects one answer from the parser, within a bound for what stands around the body. The parser itself bounds lines
 * and fields, not the extensions of chunks.
 */
package org.cardamomwharf.forward.server

import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpParser
import org.eclipse.jetty.http.HttpVersion
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicLong

/** Bytes around each byte of a body that is sent in chunks of one byte, rounded up. */
private const val FRAMING_PER_BYTE = 8

internal class AnswerReader(
    private val settings: ConnectionPoolSettings,
    heldBytes: AtomicLong,
) : HttpParser.ResponseHandler {
    private var readBytes = 0L
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
    val body = AnswerBody(settings, heldBytes)

    /** Notes that [count] bytes of the answer have been parsed. */
    fun noteRead(count: Int) {
        readBytes += count
        val framingBytes = readBytes - body.size
        val isFramed = framingBytes <= 2L * settings.maxHeadBytes + FRAMING_PER_BYTE * body.size
        if (!isWhole && !isFramed && failure == null) failure = CallFailure.TOO_LARGE
    }

    fun reset() {
        readBytes = 0
        status = 0
        fields = HttpFields.build()
        failure = null
        isWhole = false
        body.clear()
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
        failure = body.take(buffer)
        return failure != null
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
