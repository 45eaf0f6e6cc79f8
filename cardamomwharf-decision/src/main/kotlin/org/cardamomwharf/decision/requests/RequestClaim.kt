/*
 * Claims the key of a non-idempotent request before its first byte is sent, and handles such requests while the table
 * service is down.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.ClaimName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.claims.BindingDecision
import org.cardamomwharf.decision.claims.BindingTimes
import org.cardamomwharf.decision.claims.ClaimDecision
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.admit
import org.cardamomwharf.decision.claims.decideClaim
import org.cardamomwharf.decision.claims.recordFailure
import org.cardamomwharf.decision.claims.recordSuccess
import org.cardamomwharf.decision.claims.startProbe

internal val OpenRequest.claimName: ClaimName get() = ClaimName(spec.service, spec.key.orEmpty())

internal fun StepContext.startClaim(request: OpenRequest) {
    if (!checkBinding(request)) return
    if (state.storeHealth.isDown(nowMs)) {
        continueWithoutStore(request)
        return
    }
    state = state.copy(storeHealth = state.storeHealth.startProbe(nowMs))
    callStore(request, ClaimDecision.Insert)
}

/** Returns true when the request has no binding or its binding allows it to run here; otherwise ends the request. */
private fun StepContext.checkBinding(request: OpenRequest): Boolean {
    val binding = request.spec.binding ?: return true
    return when (val decision = decideBinding(request.spec, binding)) {
        is BindingDecision.Run -> {
            state = state.copy(boundKeys = decision.keys)
            updateRequest(request.copy(isBound = true))
            true
        }
        is BindingDecision.End -> {
            endRequest(request, decision.reason, recorded = decision.response)
            false
        }
    }
}

private fun StepContext.decideBinding(spec: RequestSpec, binding: Binding): BindingDecision {
    if (!policy.boundBookingsWhenStoreDown) return BindingDecision.End(Reason.BINDING_DISABLED)
    val times = BindingTimes(nowMs, policy.keyTtlMs)
    val own = state.membership.self.incarnation
    return state.boundKeys.admit(spec.boundKey, spec.fingerprint, binding, own, times)
}

/** The name of the key in [org.cardamomwharf.decision.claims.BoundKeys]. */
internal val RequestSpec.boundKey: String get() = "${service.value}/${key.orEmpty()}"

internal fun StepContext.handleClaimReply(id: RequestId, reply: ClaimReply) {
    val request = findRequest(id) ?: return
    if (request.phase != Phase.Claiming) return
    recordStoreHealth(reply)
    val fingerprint = request.spec.fingerprint
    when (val decision = decideClaim(reply, request.claimAttempt, fingerprint, request.claimCalls)) {
        is ClaimDecision.Proceed -> {
            updateRequest(request.copy(isClaimed = true, phase = Phase.Waiting))
            dispatch(id)
        }
        is ClaimDecision.End -> endRequestAtClaim(request, decision)
        is ClaimDecision.StoreDown -> continueWithoutStore(request)
        is ClaimDecision.ReadLater -> updateRequest(request.copy(readClaimAtMs = nowMs + decision.pauseMs))
        else -> callStore(request, decision)
    }
}

/**
 * Ends a request whose key was claimed by another attempt. Its own claim does not count as written, and a key that was
 * just bound here must not stay recorded as running.
 */
private fun StepContext.endRequestAtClaim(request: OpenRequest, decision: ClaimDecision.End) {
    endRequest(request.copy(isClaimWriteAttempted = false), decision.reason, recorded = decision.response)
}

/** Reads the claims again whose retry delay has passed. */
internal fun StepContext.readDueClaims() {
    state.requests.open.values
        .filter { request -> request.readClaimAtMs?.let { it <= nowMs } == true }
        .sortedBy { it.spec.id.value }
        .forEach { callStore(it, ClaimDecision.Read) }
}

private fun StepContext.recordStoreHealth(reply: ClaimReply) {
    val isAnswered = reply !is ClaimReply.Lost && reply !is ClaimReply.Unavailable
    val health = state.storeHealth
    state = state.copy(storeHealth = if (isAnswered) health.recordSuccess() else health.recordFailure(nowMs))
}

private fun StepContext.callStore(request: OpenRequest, decision: ClaimDecision) {
    val claiming = (findRequest(request.spec.id) ?: request).copy(
        phase = Phase.Claiming,
        claimCalls = request.claimCalls + 1,
        readClaimAtMs = null,
        isClaimWriteAttempted = true,
    )
    updateRequest(claiming)
    val id = request.spec.id
    val name = request.claimName
    val attempt = request.claimAttempt
    val fingerprint = request.spec.fingerprint
    emit(
        when (decision) {
            is ClaimDecision.Read -> EntryEffect.ReadClaim(id, name, attempt)
            is ClaimDecision.Replace ->
                EntryEffect.ReplaceClaim(id, name, attempt, fingerprint, decision.rowVersion)
            else -> EntryEffect.InsertClaim(id, name, attempt, fingerprint)
        },
    )
}

/** Runs a request with a bound key without a claim; refuses any other request and offers a binding. */
private fun StepContext.continueWithoutStore(request: OpenRequest) {
    val current = findRequest(request.spec.id) ?: return
    if (!current.isBound) {
        endRequest(current, Reason.STORE_UNAVAILABLE)
        return
    }
    updateRequest(current.copy(phase = Phase.Waiting))
    dispatch(current.spec.id)
}
