/*
 * Collects one response from the parser and limits the bytes of its framing. The parser limits lines and header fields
 * but not chunk extensions.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.forward.bodies.BodyBound
import org.cardamomwharf.forward.bodies.BodyBuffer
import org.cardamomwharf.forward.bodies.BodyBufferError
import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpParser
import org.eclipse.jetty.http.HttpVersion
import java.nio.ByteBuffer

/** Framing overhead of a body that is sent in chunks of one byte, rounded up. */
private const val FRAMING_BYTES_PER_BODY_BYTE = 8

internal class ResponseReader(private val settings: ConnectionPoolSettings) : HttpParser.ResponseHandler {
    private var readBytes = 0L
    var status = 0
        private set
    var fields: HttpFields.Mutable = HttpFields.build()
        private set
    var failure: CallFailure? = null
        private set
    var isComplete = false
        private set
    var version: HttpVersion = HttpVersion.HTTP_1_1
        private set
    val body = BodyBuffer(settings.maxResponseBytes, BodyBound.RESPONSE)

    /** Adds [count] parsed bytes and checks the limit of the framing. */
    fun recordRead(count: Int) {
        readBytes += count
        val framingBytes = readBytes - body.size
        val isFramed = framingBytes <= 2L * settings.maxResponseHeadBytes + FRAMING_BYTES_PER_BODY_BYTE * body.size
        if (!isComplete && !isFramed && failure == null) failure = CallFailure.TOO_LARGE
    }

    fun reset() {
        readBytes = 0
        status = 0
        fields = HttpFields.build()
        failure = null
        isComplete = false
        body.clear()
    }

    override fun startResponse(version: HttpVersion, status: Int, reason: String?) {
        this.version = version
        this.status = status
        if (!isStatusAllowed(status)) failure = CallFailure.MALFORMED
    }

    override fun parsedHeader(field: HttpField) {
        fields.add(field)
        if (field.header == HttpHeader.CONTENT_LENGTH) body.declaredBytes = field.value?.toLongOrNull() ?: -1
    }

    override fun headerComplete(): Boolean = false

    override fun content(buffer: ByteBuffer): Boolean {
        failure = failure ?: when (body.append(buffer)) {
            null -> null
            BodyBufferError.TOO_LARGE -> CallFailure.TOO_LARGE
            BodyBufferError.NO_ROOM -> CallFailure.NO_ROOM
        }
        return failure != null
    }

    override fun contentComplete(): Boolean = false

    override fun messageComplete(): Boolean {
        isComplete = true
        return true
    }

    override fun earlyEOF() {
        failure = CallFailure.TRUNCATED
    }

    override fun badMessage(failure: HttpException) {
        this.failure = CallFailure.MALFORMED
    }
}
