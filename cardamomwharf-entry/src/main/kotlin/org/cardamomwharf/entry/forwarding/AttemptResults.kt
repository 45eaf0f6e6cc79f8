/*
 * Decides from the end of a call what it means for the request. Only what the backend server itself marked as refused
 * counts as not run; any other status is an answer.
 */
package org.cardamomwharf.entry.forwarding

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.entry.requests.toRecorded
import org.cardamomwharf.http.HttpFailure
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.peer.HandedOverField
import org.cardamomwharf.peer.HandedOverResponse

private const val MS_PER_SECOND = 1_000L

/** Returns what [end] means for [attempt]. */
public fun attemptResultOf(end: HttpResult, attempt: AttemptId, isIdempotent: Boolean): AttemptResult = when (end) {
    is HttpResult.NotSent -> AttemptResult.NotSent(Reason.SERVER_UNREACHABLE)
    is HttpResult.Lost -> AttemptResult.Lost(reasonOf(end.failure))
    is HttpResult.Completed -> judge(end.response, attempt, isIdempotent)
}

private fun reasonOf(failure: HttpFailure): Reason = when (failure) {
    HttpFailure.TIMEOUT -> Reason.DEADLINE_PASSED_RUNNING
    HttpFailure.CANCELLED -> Reason.DEADLINE_PASSED_RUNNING
    HttpFailure.TOO_LARGE -> Reason.ANSWER_TOO_LARGE
    HttpFailure.TRUNCATED -> Reason.ANSWER_TRUNCATED
    HttpFailure.CONNECT, HttpFailure.CLOSED -> Reason.CONNECTION_LOST
}

private fun judge(answer: HttpResponse, attempt: AttemptId, isIdempotent: Boolean): AttemptResult {
    val isLeaving = answer.findHeader(HeaderNames.LEAVING) == "true"
    val named = answer.findHeader(HeaderNames.ATTEMPT)
    val isNamed = named != null
    return when {
        isNamed && named != attempt.value -> AttemptResult.Lost(Reason.ANSWER_CROSSED)
        answer.findHeader(HeaderNames.REFUSED) == "true" ->
            AttemptResult.Refused(Reason.SERVER_REFUSED, retryAfterMs(answer), isLeaving, isNamed)
        isIdempotent -> AttemptResult.Completed(null, isLeaving, isNamed)
        else -> AttemptResult.Completed(handedAnswerOf(answer).toRecorded(), isLeaving, isNamed)
    }
}

private fun retryAfterMs(answer: HttpResponse): Long =
    (answer.findHeader(HeaderNames.RETRY_AFTER)?.toLongOrNull() ?: 0) * MS_PER_SECOND

/** Returns [answer] as it is handed to callers and peers. */
public fun handedAnswerOf(answer: HttpResponse): HandedOverResponse = HandedOverResponse(
    status = answer.status,
    fields = answer.headers.map { HandedOverField(it.name, it.value) },
    body = answer.body,
)
