/*
 * What the end of a call to a backend server means for the request.
 */
package org.cardamomwharf.forward.course

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.server.CallEnd
import org.cardamomwharf.platform.FieldNames
import org.cardamomwharf.steering.requests.AttemptEnd

private const val REQUEST_TIMEOUT = 408
private const val MISDIRECTED = 421
private const val TOO_MANY_REQUESTS = 429
private const val SMALLEST_SERVER_FAILURE = 500

/** Statuses that promise that a request did not and won't run. */
internal val promisingStatuses = setOf(REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, StatusCode.UNAVAILABLE)

internal fun attemptEndOf(end: CallEnd): AttemptEnd = when (end) {
    is CallEnd.NotSent -> AttemptEnd.NOT_SENT
    is CallEnd.Lost -> AttemptEnd.LOST
    is CallEnd.Answered -> when {
        end.answer.status == MISDIRECTED -> AttemptEnd.MISDIRECTED
        end.answer.fields.contains(FieldNames.NOT_RUN) -> AttemptEnd.SHED
        end.answer.status >= SMALLEST_SERVER_FAILURE || end.answer.status in promisingStatuses -> AttemptEnd.FAILED
        else -> AttemptEnd.ANSWERED
    }
}

internal fun detailOf(end: CallEnd): String = when (end) {
    is CallEnd.NotSent -> end.cause.code
    is CallEnd.Lost -> end.cause.code
    is CallEnd.Answered -> end.answer.status.toString()
}
