/*
 * Ends requests whose deadline has passed or whose caller has disconnected, and cancels their attempts.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.StepContext

/** Ends requests whose deadline has passed and cancels their running attempts. */
internal fun StepContext.expireDeadlines() {
    val expired = state.requests.open.values
        .filter { it.spec.deadlineAtMs <= nowMs }
        .sortedBy { it.spec.id.value }
    expired.forEach { expire(it) }
}

private fun StepContext.expire(request: OpenRequest) {
    val phase = request.phase
    if (phase is Phase.Running) {
        emit(EntryEffect.Cancel(phase.attempt))
        endRequest(request, Reason.DEADLINE_PASSED_RUNNING)
    } else {
        endRequest(request, Reason.DEADLINE_PASSED)
    }
}

/**
 * Ends a request whose caller has disconnected. A running non-idempotent request is left to finish, so that its
 * response is recorded.
 */
internal fun StepContext.handleCallerDisconnect(id: RequestId) {
    val request = findRequest(id) ?: return
    val phase = request.phase
    if (phase !is Phase.Running) {
        endRequest(request, Reason.CALLER_GONE)
    } else if (request.spec.isIdempotent) {
        emit(EntryEffect.Cancel(phase.attempt))
        endRequest(request.copy(lastLossReason = Reason.CONNECTION_LOST), Reason.CALLER_GONE)
    }
}
