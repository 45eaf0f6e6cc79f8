/*
 * The claim of a non-idempotent request before its first byte goes out, and what is done while the table service is
 * down.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.ClaimName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.Turn
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.claims.BindingTimes
import org.cardamomwharf.decision.claims.BoundDecision
import org.cardamomwharf.decision.claims.ClaimDecision
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.admit
import org.cardamomwharf.decision.claims.decideClaim
import org.cardamomwharf.decision.claims.fail
import org.cardamomwharf.decision.claims.probe
import org.cardamomwharf.decision.claims.succeed

internal val OpenRequest.claimName: ClaimName get() = ClaimName(spec.service, spec.key.orEmpty())

internal fun Turn.startClaim(request: OpenRequest) {
    if (!admitBinding(request)) return
    if (state.store.isDown(nowMs)) {
        goOnWithoutStore(request)
        return
    }
    state = state.copy(store = state.store.probe(nowMs))
    callStore(request, ClaimDecision.Insert)
}

/** Returns true when the request has no binding, or its binding lets it run here; otherwise it has ended. */
private fun Turn.admitBinding(request: OpenRequest): Boolean {
    val binding = request.spec.binding ?: return true
    return when (val decision = decideBinding(request.spec, binding)) {
        is BoundDecision.Run -> {
            state = state.copy(boundKeys = decision.keys)
            update(request.copy(isBound = true))
            true
        }
        is BoundDecision.End -> {
            end(request, decision.reason, recorded = decision.response)
            false
        }
    }
}

private fun Turn.decideBinding(spec: RequestSpec, binding: Binding): BoundDecision {
    if (!policy.boundBookingsWhenStoreDown) return BoundDecision.End(Reason.BINDING_DISABLED)
    val times = BindingTimes(nowMs, policy.keyTtlMs)
    val own = state.membership.self.incarnation
    return state.boundKeys.admit(spec.boundKey, spec.fingerprint, binding, own, times)
}

/** The name under which a bound key is remembered. */
internal val RequestSpec.boundKey: String get() = "${service.value}/${key.orEmpty()}"

internal fun Turn.settleClaim(id: RequestId, reply: ClaimReply) {
    val request = find(id) ?: return
    if (request.phase != Phase.Claiming) return
    noteStoreHealth(reply)
    val fingerprint = request.spec.fingerprint
    when (val decision = decideClaim(reply, request.claimAttempt, fingerprint, request.claimCalls)) {
        is ClaimDecision.Proceed -> {
            update(request.copy(isClaimed = true, phase = Phase.Waiting))
            dispatch(id)
        }
        is ClaimDecision.End -> endAtClaim(request, decision)
        is ClaimDecision.StoreDown -> goOnWithoutStore(request)
        is ClaimDecision.ReadLater -> update(request.copy(readClaimAtMs = nowMs + decision.pauseMs))
        else -> callStore(request, decision)
    }
}

/** A row of another attempt decides, so the key that was only just bound here must not be remembered as running. */
private fun Turn.endAtClaim(request: OpenRequest, decision: ClaimDecision.End) {
    end(request.copy(isClaimTouched = false), decision.reason, recorded = decision.response)
}

/** Reads the claims again whose pause is over. */
internal fun Turn.readDueClaims() {
    state.requests.open.values
        .filter { request -> request.readClaimAtMs?.let { it <= nowMs } == true }
        .sortedBy { it.spec.id.value }
        .forEach { callStore(it, ClaimDecision.Read) }
}

private fun Turn.noteStoreHealth(reply: ClaimReply) {
    val isAnswered = reply !is ClaimReply.Lost && reply !is ClaimReply.Unavailable
    state = state.copy(store = if (isAnswered) state.store.succeed() else state.store.fail(nowMs))
}

private fun Turn.callStore(request: OpenRequest, decision: ClaimDecision) {
    val claiming = (find(request.spec.id) ?: request).copy(
        phase = Phase.Claiming,
        claimCalls = request.claimCalls + 1,
        readClaimAtMs = null,
        isClaimTouched = true,
    )
    update(claiming)
    val id = request.spec.id
    val name = request.claimName
    val attempt = request.claimAttempt
    val fingerprint = request.spec.fingerprint
    add(
        when (decision) {
            is ClaimDecision.Read -> EntryEffect.ReadClaim(id, name, attempt)
            is ClaimDecision.Replace ->
                EntryEffect.ReplaceClaim(id, name, attempt, fingerprint, decision.rowVersion)
            else -> EntryEffect.InsertClaim(id, name, attempt, fingerprint)
        },
    )
}

/** A bound key runs without a claim; any other is refused with the offer of a binding. */
private fun Turn.goOnWithoutStore(request: OpenRequest) {
    val current = find(request.spec.id) ?: return
    if (!current.isBound) {
        end(current, Reason.STORE_UNAVAILABLE)
        return
    }
    update(current.copy(phase = Phase.Waiting))
    dispatch(current.spec.id)
}
