/*
 * Charges responses that are larger than expected before they are sent over a link, part by part as the cap shares
 * refill.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.caps.CapCost
import org.cardamomwharf.decision.caps.CapId
import org.cardamomwharf.decision.caps.PartnerPath

internal fun StepContext.holdResponse(attempt: AttemptId, missingBytes: Long) {
    val running = state.requests.attempts[attempt] ?: return
    val peer = running.target as? Target.Peer ?: return
    val unchargedCosts = getResponseCosts(peer, missingBytes)
    state = state.copy(heldResponses = state.heldResponses.put(attempt, HeldResponse(unchargedCosts)))
    chargeHeldResponse(attempt)
}

internal fun StepContext.chargeHeldResponses() {
    state.heldResponses.keys.sortedBy { it.value }.forEach { chargeHeldResponse(it) }
}

private fun StepContext.chargeHeldResponse(attempt: AttemptId) {
    val held = state.heldResponses[attempt] ?: return
    val rest = held.unchargedCosts.map { chargeAvailablePart(it) }.filter { it.amount > 0 }
    if (rest.isEmpty()) {
        state = state.copy(heldResponses = state.heldResponses.remove(attempt))
        emit(EntryEffect.GrantCredit(attempt))
    } else {
        state = state.copy(heldResponses = state.heldResponses.put(attempt, HeldResponse(rest)))
    }
}

private fun StepContext.chargeAvailablePart(charge: CapCost): CapCost {
    if (charge.cap !in state.capLimiter.buckets) return charge.copy(amount = 0)
    val part = minOf(charge.amount, state.capLimiter.getAvailableUnits(charge.cap, nowMs))
    val isCharged = part > 0 && trySpend(listOf(CapCost(charge.cap, part)))
    return if (isCharged) charge.copy(amount = charge.amount - part) else charge
}

private fun StepContext.getResponseCosts(peer: Target.Peer, bytes: Long): List<CapCost> {
    val own = index?.regionByZone?.get(state.membership.self.zone)
    val other = findZone(peer)?.let { index?.regionByZone?.get(it) }
    if (own == null || other == null || own == other) return emptyList()
    val link = CapCost(CapId.LinkBytes(other.name, own.name), bytes)
    val partner = CapCost(CapId.PartnerBytes(other.partner, PartnerPath.HAND_OVER), bytes)
    return if (own.partner == other.partner) listOf(link) else listOf(link, partner)
}

private fun StepContext.findZone(peer: Target.Peer): ZoneName? {
    val listed = state.membership.listed[peer.name]?.zone
    val reported = state.membership.remoteZones.values
        .flatMap { it.summary.members }
        .firstOrNull { it.member.name == peer.name }
    return reported?.member?.zone ?: listed
}
