/*
 * Maps results of calls to backend servers to outcomes of attempts.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.server.CallFailure
import org.cardamomwharf.forward.server.CallResult
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.steering.requests.AttemptOutcome

private const val REQUEST_TIMEOUT = 408
private const val MISDIRECTED = 421
private const val TOO_MANY_REQUESTS = 429
private const val MIN_SERVER_ERROR_STATUS = 500

/** Statuses that tell the caller that its request was not and won't be executed. */
internal val notExecutedStatuses = setOf(REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, StatusCode.UNAVAILABLE)

internal fun toAttemptOutcome(result: CallResult): AttemptOutcome = when (result) {
    is CallResult.NotSent -> AttemptOutcome.NOT_SENT
    is CallResult.Lost -> AttemptOutcome.LOST
    is CallResult.Completed -> when {
        result.response.status == MISDIRECTED -> AttemptOutcome.MISDIRECTED
        result.response.fields.contains(HeaderNames.NOT_EXECUTED) -> AttemptOutcome.SHED
        result.response.status >= MIN_SERVER_ERROR_STATUS || result.response.status in notExecutedStatuses ->
            AttemptOutcome.FAILED
        else -> AttemptOutcome.ANSWERED
    }
}

/** Returns true when the backend server closed or reset the connection instead of responding. */
internal fun isBrokenOff(result: CallResult): Boolean =
    result is CallResult.Lost && (result.cause == CallFailure.RESET || result.cause == CallFailure.TRUNCATED)

internal fun describe(result: CallResult): String = when (result) {
    is CallResult.NotSent -> result.cause.code
    is CallResult.Lost -> result.cause.code
    is CallResult.Completed -> result.response.status.toString()
}
