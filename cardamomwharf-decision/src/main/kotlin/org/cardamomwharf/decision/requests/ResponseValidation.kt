/*
 * Decides whether a response is accepted for its attempt. A backend server that has named an attempt once must name one
 * in every response; a response without an attempt may belong to another request on the same connection.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.servers.ServerState
import org.cardamomwharf.decision.servers.update

/** Returns [result], or a lost response if [target] names its attempts and this response names none. */
internal fun StepContext.rejectUnidentifiedResponse(target: Target, result: AttemptResult): AttemptResult {
    val server = (target as? Target.Server)?.let { state.servers.servers[it.name] }
    if (server != null && result.hasNamedAttempt) recordAttemptNaming(server)
    val isRejected = server != null && server.hasNamedAttempts && result.isResponse && !result.hasNamedAttempt
    return if (isRejected) AttemptResult.Lost(Reason.ANSWER_CROSSED) else result
}

private fun StepContext.recordAttemptNaming(server: ServerState) {
    state = state.copy(servers = state.servers.update(server.name) { it.copy(hasNamedAttempts = true) })
}

private val AttemptResult.isResponse: Boolean
    get() = this is AttemptResult.Completed || this is AttemptResult.Refused

private val AttemptResult.hasNamedAttempt: Boolean
    get() = when (this) {
        is AttemptResult.Completed -> hasAttemptId
        is AttemptResult.Refused -> hasAttemptId
        is AttemptResult.NotSent, is AttemptResult.Lost -> false
    }
