/*
 * Ends requests whose deadline has passed or whose caller has gone; what they run is stopped.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.Turn

/** Ends requests whose deadline has passed; what they run is stopped. */
internal fun Turn.expireDeadlines() {
    val expired = state.requests.open.values
        .filter { it.spec.deadlineAtMs <= nowMs }
        .sortedBy { it.spec.id.value }
    expired.forEach { expire(it) }
}

private fun Turn.expire(request: OpenRequest) {
    val phase = request.phase
    if (phase is Phase.Running) {
        add(EntryEffect.Cancel(phase.attempt))
        end(request, Reason.DEADLINE_PASSED_RUNNING)
    } else {
        end(request, Reason.DEADLINE_PASSED)
    }
}

/** Ends a request whose caller has gone. What is not idempotent runs to its end, so that its answer is recorded. */
internal fun Turn.forgetCaller(id: RequestId) {
    val request = find(id) ?: return
    val phase = request.phase
    if (phase !is Phase.Running) {
        end(request, Reason.CALLER_GONE)
    } else if (request.spec.isIdempotent) {
        add(EntryEffect.Cancel(phase.attempt))
        end(request.copy(lastLoss = Reason.CONNECTION_LOST), Reason.CALLER_GONE)
    }
}
