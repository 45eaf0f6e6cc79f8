/*
 * Decides on arrival whether a request is accepted. A request that can't finish in time, or that would take capacity
 * reserved for services of higher weight, is refused at once as not run.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.caps.CapCost
import org.cardamomwharf.decision.caps.CapId
import org.cardamomwharf.decision.caps.PartnerPath
import org.cardamomwharf.decision.caps.consume
import org.cardamomwharf.decision.retry.recordFirstAttempt

private const val UNRESERVED_SHARE_NUMERATOR = 4
private const val UNRESERVED_SHARE_DENOMINATOR = 5

internal fun StepContext.admit(spec: RequestSpec) {
    val current = index
    val service = current?.services?.get(spec.service)
    val refusal = findRefusal(spec, service)
    if (refusal != null || service == null || current == null) {
        refuse(spec, refusal ?: Reason.UNKNOWN_SERVICE)
        return
    }
    if (!chargeArrival(spec, service, current)) {
        refuse(spec, Reason.CAP_REACHED)
        return
    }
    state = state.copy(retryBudget = state.retryBudget.recordFirstAttempt(policy.retryBudgetPercent))
    val request = OpenRequest(spec, claimAttempt = spec.attempt ?: newAttemptId(spec, 0), phase = Phase.Waiting)
    updateRequest(request)
    if (needsClaim(spec)) startClaim(request) else dispatch(spec.id)
}

private fun needsClaim(spec: RequestSpec): Boolean = !spec.isIdempotent && spec.origin == RequestOrigin.CALLER

private fun StepContext.findRefusal(spec: RequestSpec, service: Service?): Reason? = when {
    index == null -> Reason.NO_DOCUMENT
    service == null -> Reason.UNKNOWN_SERVICE
    isRefusedWhileLeaving(spec) -> Reason.LEAVING
    needsClaim(spec) && spec.key == null -> Reason.KEY_MISSING
    spec.deadlineAtMs <= nowMs -> Reason.DEADLINE_PASSED
    spec.deadlineAtMs - nowMs < estimateServiceMs(service) -> Reason.DEADLINE_TOO_SHORT
    isOverloaded(spec, service) -> Reason.BUSY
    else -> null
}

private fun StepContext.isRefusedWhileLeaving(spec: RequestSpec): Boolean {
    val leave = state.leave ?: return false
    return spec.origin == RequestOrigin.PEER || nowMs >= leave.acceptsUntilMs
}

private fun StepContext.isOverloaded(spec: RequestSpec, service: Service): Boolean {
    val open = state.requests.open.size
    val maxOpen = state.limits.largestOpenRequests
    val isReserveAllowed = mayUseReservedCapacity(spec, service)
    return open >= if (isReserveAllowed) {
        maxOpen
    } else {
        maxOpen * UNRESERVED_SHARE_NUMERATOR / UNRESERVED_SHARE_DENOMINATOR
    }
}

/** Returns true when the request may use the capacity reserved for the services of the highest weight. */
internal fun StepContext.mayUseReservedCapacity(spec: RequestSpec, service: Service): Boolean =
    !spec.isIdempotent && index?.hasLargestWeight(service) == true

/** Charges a request that look-up directed here from another partner's region to the cap shares of this zone. */
private fun StepContext.chargeArrival(spec: RequestSpec, service: Service, current: DocumentIndex): Boolean {
    val clientPartner = spec.clientZone?.let { current.regionByZone[it] }?.partner
    val partner = current.regionByZone[state.membership.self.zone]?.partner
    val isShifted = spec.origin == RequestOrigin.CALLER && clientPartner != partner
    if (!isShifted || clientPartner == null || partner == null) return true
    val bytes = spec.requestBytes + service.expectedResponseBytes
    val charges = listOf(
        CapCost(CapId.PartnerRequests(partner, PartnerPath.LOOK_UP), 1),
        CapCost(CapId.PartnerBytes(partner, PartnerPath.LOOK_UP), bytes),
    )
    return trySpend(charges)
}

internal fun StepContext.trySpend(charges: List<CapCost>): Boolean {
    val limiter = state.capLimiter.consume(charges, nowMs) ?: return false
    state = state.copy(capLimiter = limiter)
    return true
}

private fun StepContext.refuse(spec: RequestSpec, reason: Reason) {
    emit(EntryEffect.Respond(spec.id, reason, retryAfterMs = retryAfterMs(reason)))
}

internal fun StepContext.newAttemptId(spec: RequestSpec, number: Int): AttemptId {
    val self = state.membership.self
    return AttemptId("${self.name.value}-${self.incarnation.value}-${spec.id.value}-$number")
}
