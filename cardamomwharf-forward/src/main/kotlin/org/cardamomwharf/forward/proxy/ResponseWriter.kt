/*
 * Writes responses to callers: those of backend servers and local replies.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.forward.listener.closeConnection
import org.cardamomwharf.forward.listener.reserveHead
import org.cardamomwharf.forward.server.ServerResponse
import org.cardamomwharf.platform.HeaderNames
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.nio.ByteBuffer
import java.util.Locale

private const val MS_PER_SECOND = 1_000.0
private val hopByHopFields = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
)

/** Returns [fields] without hop-by-hop fields. */
internal fun removeHopByHopFields(fields: HttpFields): HttpFields.Mutable {
    val named = fields.getCSV(HttpHeader.CONNECTION, false).mapTo(HashSet()) { it.lowercase() }
    val endToEnd = HttpFields.build()
    fields.filter { it.lowerCaseName !in hopByHopFields && it.lowerCaseName !in named }.forEach { endToEnd.add(it) }
    return endToEnd
}

/** Represents a response that this process generates itself. */
internal data class LocalReply(val status: Int, val code: String, val retryAfterMs: Long? = null)

internal fun writeLocalReply(
    reply: LocalReply,
    requestId: String?,
    isClosing: Boolean,
    response: Response,
    done: Callback,
) {
    response.status = reply.status
    requestId?.let { response.headers.put(HeaderNames.REQUEST_ID, it) }
    reply.retryAfterMs?.let { response.headers.put(HeaderNames.RETRY_AFTER, formatSeconds(it)) }
    write(reply.code.toByteArray(), isClosing, response, done)
}

internal fun writeServerResponse(
    serverResponse: ServerResponse,
    isClosing: Boolean,
    response: Response,
    done: Callback,
) {
    response.status = serverResponse.status
    removeHopByHopFields(serverResponse.fields).forEach { response.headers.add(it) }
    write(serverResponse.body, isClosing, response, done)
}

private fun write(body: ByteArray, isClosing: Boolean, response: Response, done: Callback) {
    if (isClosing) response.closeConnection()
    response.headers.put(HttpHeader.CONTENT_LENGTH, body.size.toLong())
    response.reserveHead()
    response.write(true, ByteBuffer.wrap(body), done)
}

private fun formatSeconds(ms: Long): String = String.format(Locale.ROOT, "%.3f", ms / MS_PER_SECOND)
