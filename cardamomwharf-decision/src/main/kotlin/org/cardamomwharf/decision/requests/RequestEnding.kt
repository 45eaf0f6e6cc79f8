/*
 * Sends the final response to requests and settles their claims.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.claims.RecordedResponse
import org.cardamomwharf.decision.claims.recordResponse
import org.cardamomwharf.decision.claims.remove

private const val DEFAULT_RETRY_AFTER_MS = 1_000L

/**
 * Ends [request] with its final response and settles its claim. A request that an earlier attempt may have run is never
 * reported as not run.
 */
internal fun StepContext.endRequest(
    request: OpenRequest,
    initialReason: Reason,
    attempt: AttemptId? = null,
    recorded: RecordedResponse? = null,
) {
    val isNotRun = initialReason.outcome == Outcome.NOT_RUN
    val reason = if (isNotRun) request.lastLossReason ?: initialReason else initialReason
    updateRequests { it.close(request.spec.id) }
    settleClaim(request, reason, recorded)
    emit(
        EntryEffect.Respond(
            request = request.spec.id,
            reason = reason,
            retryAfterMs = retryAfterMs(reason),
            attempt = attempt,
            recorded = if (reason == Reason.RECORDED_ANSWER) recorded else null,
            offeredBinding = createBindingOffer(reason),
        ),
    )
}

private fun StepContext.settleClaim(request: OpenRequest, reason: Reason, recorded: RecordedResponse?) {
    val boundKey = request.spec.boundKey
    if (reason.outcome == Outcome.NOT_RUN) {
        if (request.isBound) state = state.copy(boundKeys = state.boundKeys.remove(boundKey))
        if (request.isClaimWriteAttempted) emit(createRelease(request))
        return
    }
    if (recorded == null) return
    if (request.isBound) state = state.copy(boundKeys = state.boundKeys.recordResponse(boundKey, recorded))
    val isClaimOwned = request.isClaimWriteAttempted || request.isBound
    if (isClaimOwned && reason == Reason.ANSWERED) emit(createRecord(request, recorded))
}

private fun createRelease(request: OpenRequest) = EntryEffect.ReleaseClaim(
    request.spec.id,
    request.claimName,
    request.claimAttempt,
    request.spec.fingerprint,
)

private fun createRecord(request: OpenRequest, response: RecordedResponse) = EntryEffect.RecordResponse(
    request.spec.id,
    request.claimName,
    request.claimAttempt,
    request.spec.fingerprint,
    response,
)

private fun StepContext.createBindingOffer(reason: Reason): Binding? {
    val isOffered = reason == Reason.STORE_UNAVAILABLE && policy.boundBookingsWhenStoreDown && state.leave == null
    return if (isOffered) Binding(state.membership.self.incarnation, nowMs) else null
}

internal fun StepContext.retryAfterMs(reason: Reason): Long = when {
    !reason.isRetryable -> 0
    reason == Reason.STORE_UNAVAILABLE -> state.storeHealth.retryAfterMs(nowMs)
    else -> DEFAULT_RETRY_AFTER_MS
}
