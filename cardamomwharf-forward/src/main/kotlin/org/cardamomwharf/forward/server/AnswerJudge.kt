/*
 * Judges answers of backend servers: whose they are, whether they may be passed on, and what they say of their
 * connection.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.platform.decodeLoadReport
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpVersion

private const val SMALLEST_FINAL_STATUS = 200
private const val LARGEST_SUCCESS = 299
private const val MS_PER_SECOND = 1_000L

/** Part of the time that a backend server names for which a connection is used; it may count from earlier. */
private const val KEPT_SHARE = 0.7
private val success = SMALLEST_FINAL_STATUS..LARGEST_SUCCESS
private val keepAlive = Regex("timeout=(\\d+)")

/** Returns true when the answer is an interim one or names another request than [id]. */
internal fun AnswerReader.isForeignTo(id: String?): Boolean {
    val named = fields.get(HeaderNames.REQUEST_ID)
    return status < SMALLEST_FINAL_STATUS || (named != null && named != id)
}

/** Returns true when the answer is whole, isn't meant for [id], and another may follow on the connection. */
internal fun AnswerReader.isSkippable(id: String?): Boolean = isWhole && isForeignTo(id) && isPersistent()

/** Returns true when the connection may carry another request after this answer. */
internal fun AnswerReader.isPersistent(): Boolean {
    val isClosing = fields.contains(HttpHeader.CONNECTION, "close")
    val isFramed = fields.contains(HttpHeader.CONTENT_LENGTH) || fields.contains(HttpHeader.TRANSFER_ENCODING)
    return version == HttpVersion.HTTP_1_1 && !isClosing && isFramed
}

/** Returns the answer that was read. */
internal fun AnswerReader.toAnswer(): ServerResponse {
    val report = decodeLoadReport(fields.get(HeaderNames.SERVER_LOAD))
    return ServerResponse(status, fields.asImmutable(), body.toByteArray(), report)
}

/** Returns the end of a call to which [answer] came; a success has to be ours, signed and plain. */
internal fun judge(answer: ServerResponse, id: String): CallResult {
    val isOurs = answer.fields.get(HeaderNames.REQUEST_ID) == id
    val isSigned = answer.fields.contains(HeaderNames.SIGNATURE)
    val isEncoded = answer.fields.contains(HttpHeader.CONTENT_ENCODING)
    val isUsable = answer.status !in success || (isOurs && isSigned && !isEncoded)
    return if (isUsable) CallResult.Completed(answer) else CallResult.Lost(CallFailure.FOREIGN)
}

/** Returns the time for which the connection is used when idle, or null when the backend server names none. */
internal fun keptForMs(fields: HttpFields): Long? {
    val value = fields.get(HttpHeader.KEEP_ALIVE) ?: return null
    val seconds = keepAlive.find(value)?.groupValues?.get(1)?.toLongOrNull()
    return seconds?.let { (it * MS_PER_SECOND * KEPT_SHARE).toLong() }
}
