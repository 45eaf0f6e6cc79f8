/*
 * Validates responses of backend servers: whether they belong to the request, may be relayed, and allow reuse of their
 * connection.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.platform.decodeServerReport
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpVersion

private const val MIN_INTERIM_STATUS = 100
private const val SWITCHING_PROTOCOLS = 101
private const val MIN_FINAL_STATUS = 200
private const val MAX_FINAL_STATUS = 599
private const val MAX_SUCCESS_STATUS = 299
private const val MS_PER_SECOND = 1_000L

/** Fraction of the announced keep-alive timeout that is used; the backend server may start counting earlier. */
private const val KEEP_ALIVE_FRACTION = 0.7
private val success = MIN_FINAL_STATUS..MAX_SUCCESS_STATUS
private val keepAlive = Regex("timeout=(\\d+)")

/** Returns true for statuses of final responses, and of interim responses other than the unrequested upgrade. */
internal fun isStatusAllowed(status: Int): Boolean =
    status in MIN_INTERIM_STATUS..MAX_FINAL_STATUS && status != SWITCHING_PROTOCOLS

/** True if another response to the same request follows. */
private val ResponseReader.isInterim: Boolean get() = status < MIN_FINAL_STATUS

/** Returns true if the response is an interim response or names a request other than [id]. */
internal fun ResponseReader.isMismatched(id: String?): Boolean {
    val responseId = fields.get(HeaderNames.REQUEST_ID)
    return isInterim || (responseId != null && responseId != id)
}

/** Returns true if the response is complete, doesn't belong to [id], and another may follow on the connection. */
internal fun ResponseReader.isSkippable(id: String?): Boolean =
    failure == null && isComplete && isMismatched(id) && isPersistent()

/** Returns true if the connection may carry another request after this response. */
internal fun ResponseReader.isPersistent(): Boolean {
    val isClosing = fields.contains(HttpHeader.CONNECTION, "close")
    val isFramed =
        isInterim || fields.contains(HttpHeader.CONTENT_LENGTH) || fields.contains(HttpHeader.TRANSFER_ENCODING)
    return version == HttpVersion.HTTP_1_1 && !isClosing && isFramed
}

/** Returns the response that was read. */
internal fun ResponseReader.toResponse(): ServerResponse {
    val report = decodeServerReport { fields.get(it) }
    return ServerResponse(status, fields.asImmutable(), body.toByteArray(), report)
}

/**
 * Returns the result of a call. A [response] must name the request [id]; without it, a refusal may be one of an earlier
 * request on the connection. A successful one must also be signed and not encoded.
 */
internal fun validateResponse(response: ServerResponse, id: String): CallResult {
    val isMatching = response.fields.get(HeaderNames.REQUEST_ID).orEmpty() == id
    val isSigned = response.fields.contains(HeaderNames.SIGNATURE)
    val isEncoded = response.fields.contains(HttpHeader.CONTENT_ENCODING)
    val isUsable = isMatching && (response.status !in success || (isSigned && !isEncoded))
    return if (isUsable) CallResult.Completed(response) else CallResult.Lost(CallFailure.FOREIGN)
}

/** Returns the idle timeout that follows from the Keep-Alive header, or null if it announces none. */
internal fun parseIdleTimeoutMs(fields: HttpFields): Long? {
    val value = fields.get(HttpHeader.KEEP_ALIVE) ?: return null
    val seconds = keepAlive.find(value)?.groupValues?.get(1)?.toLongOrNull()
    return seconds?.let { (it * MS_PER_SECOND * KEEP_ALIVE_FRACTION).toLong() }
}
