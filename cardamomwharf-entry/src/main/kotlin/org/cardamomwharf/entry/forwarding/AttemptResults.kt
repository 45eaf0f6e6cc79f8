/*
 * Converts HTTP results to attempt results. A request counts as not executed only if it could not be sent or if the
 * backend server marked the response as refused; a response with any other status completes the attempt.
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

/** Returns the result of [attempt] for the given HTTP [result]. */
public fun createAttemptResult(result: HttpResult, attempt: AttemptId, isIdempotent: Boolean): AttemptResult =
    when (result) {
        is HttpResult.NotSent -> AttemptResult.NotSent(Reason.SERVER_UNREACHABLE)
        is HttpResult.Lost -> AttemptResult.Lost(getLossReason(result.failure))
        is HttpResult.Completed -> interpretResponse(result.response, attempt, isIdempotent)
    }

private fun getLossReason(failure: HttpFailure): Reason = when (failure) {
    HttpFailure.TIMEOUT -> Reason.DEADLINE_PASSED_RUNNING
    HttpFailure.CANCELLED -> Reason.DEADLINE_PASSED_RUNNING
    HttpFailure.TOO_LARGE -> Reason.ANSWER_TOO_LARGE
    HttpFailure.TRUNCATED -> Reason.ANSWER_TRUNCATED
    HttpFailure.CONNECT, HttpFailure.CLOSED -> Reason.CONNECTION_LOST
}

private fun interpretResponse(response: HttpResponse, attempt: AttemptId, isIdempotent: Boolean): AttemptResult {
    val isLeaving = response.findHeader(HeaderNames.LEAVING) == "true"
    val attemptId = response.findHeader(HeaderNames.ATTEMPT)
    val hasAttemptId = attemptId != null
    return when {
        hasAttemptId && attemptId != attempt.value -> AttemptResult.Lost(Reason.ANSWER_CROSSED)
        response.findHeader(HeaderNames.REFUSED) == "true" ->
            AttemptResult.Refused(Reason.SERVER_REFUSED, retryAfterMs(response), isLeaving, hasAttemptId)
        isIdempotent -> AttemptResult.Completed(null, isLeaving, hasAttemptId)
        else -> AttemptResult.Completed(createHandedOverResponse(response).toRecorded(), isLeaving, hasAttemptId)
    }
}

private fun retryAfterMs(response: HttpResponse): Long =
    (response.findHeader(HeaderNames.RETRY_AFTER)?.toLongOrNull() ?: 0) * MS_PER_SECOND

/** Returns [response] in the form that is passed to callers and peers. */
public fun createHandedOverResponse(response: HttpResponse): HandedOverResponse = HandedOverResponse(
    status = response.status,
    fields = response.headers.map { HandedOverField(it.name, it.value) },
    body = response.body,
)
