/*
 * What the end of a call to a backend server means for the request.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.server.CallResult
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.steering.requests.AttemptOutcome

private const val REQUEST_TIMEOUT = 408
private const val MISDIRECTED = 421
private const val TOO_MANY_REQUESTS = 429
private const val SMALLEST_SERVER_FAILURE = 500

/** Statuses that promise that a request did not and won't run. */
internal val promisingStatuses = setOf(REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, StatusCode.UNAVAILABLE)

internal fun attemptEndOf(end: CallResult): AttemptOutcome = when (end) {
    is CallResult.NotSent -> AttemptOutcome.NOT_SENT
    is CallResult.Lost -> AttemptOutcome.LOST
    is CallResult.Completed -> when {
        end.response.status == MISDIRECTED -> AttemptOutcome.MISDIRECTED
        end.response.fields.contains(HeaderNames.NOT_EXECUTED) -> AttemptOutcome.SHED
        end.response.status >= SMALLEST_SERVER_FAILURE || end.response.status in promisingStatuses ->
            AttemptOutcome.FAILED
        else -> AttemptOutcome.ANSWERED
    }
}

internal fun detailOf(end: CallResult): String = when (end) {
    is CallResult.NotSent -> end.cause.code
    is CallResult.Lost -> end.cause.code
    is CallResult.Completed -> end.response.status.toString()
}
