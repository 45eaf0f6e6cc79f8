/*
 * Writes answers to callers: those of backend servers unchanged, and our own.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.forward.server.ServerResponse
import org.cardamomwharf.platform.HeaderNames
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.nio.ByteBuffer
import java.util.Locale

private const val MS_PER_SECOND = 1_000.0
private val connectionFields = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
)

/** Returns [fields] without those that concern a single connection. */
internal fun endToEnd(fields: HttpFields): HttpFields.Mutable {
    val named = fields.getCSV(HttpHeader.CONNECTION, false).mapTo(HashSet()) { it.lowercase() }
    val kept = HttpFields.build()
    fields.filter { it.lowerCaseName !in connectionFields && it.lowerCaseName !in named }.forEach { kept.add(it) }
    return kept
}

/** Represents an answer of this process itself. */
internal data class OwnReply(val status: Int, val code: String, val retryAfterMs: Long? = null)

internal fun writeOwn(reply: OwnReply, requestId: String?, isClosing: Boolean, response: Response, done: Callback) {
    response.status = reply.status
    requestId?.let { response.headers.put(HeaderNames.REQUEST_ID, it) }
    reply.retryAfterMs?.let { response.headers.put(HeaderNames.RETRY_AFTER, secondsOf(it)) }
    write(reply.code.toByteArray(), isClosing, response, done)
}

internal fun writeAnswer(answer: ServerResponse, isClosing: Boolean, response: Response, done: Callback) {
    response.status = answer.status
    endToEnd(answer.fields).forEach { response.headers.add(it) }
    write(answer.body, isClosing, response, done)
}

private fun write(body: ByteArray, isClosing: Boolean, response: Response, done: Callback) {
    if (isClosing) response.headers.put(HttpHeader.CONNECTION, "close")
    response.headers.put(HttpHeader.CONTENT_LENGTH, body.size.toLong())
    response.write(true, ByteBuffer.wrap(body), done)
}

private fun secondsOf(ms: Long): String = String.format(Locale.ROOT, "%.3f", ms / MS_PER_SECOND)
