/*
 * What the end of a call to a backend server means for the request.
 */
package org.cardamomwharf.forward.course

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.server.CallEnd
import org.cardamomwharf.platform.FieldNames
import org.cardamomwharf.steering.requests.AttemptOutcome

private const val REQUEST_TIMEOUT = 408
private const val MISDIRECTED = 421
private const val TOO_MANY_REQUESTS = 429
private const val SMALLEST_SERVER_FAILURE = 500

/** Statuses that promise that a request did not and won't run. */
internal val promisingStatuses = setOf(REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, StatusCode.UNAVAILABLE)

internal fun attemptEndOf(end: CallEnd): AttemptOutcome = when (end) {
    is CallEnd.NotSent -> AttemptOutcome.NOT_SENT
    is CallEnd.Lost -> AttemptOutcome.LOST
    is CallEnd.Answered -> when {
        end.answer.status == MISDIRECTED -> AttemptOutcome.MISDIRECTED
        end.answer.fields.contains(FieldNames.NOT_RUN) -> AttemptOutcome.SHED
        end.answer.status >= SMALLEST_SERVER_FAILURE || end.answer.status in promisingStatuses -> AttemptOutcome.FAILED
        else -> AttemptOutcome.ANSWERED
    }
}

internal fun detailOf(end: CallEnd): String = when (end) {
    is CallEnd.NotSent -> end.cause.code
    is CallEnd.Lost -> end.cause.code
    is CallEnd.Answered -> end.answer.status.toString()
}
