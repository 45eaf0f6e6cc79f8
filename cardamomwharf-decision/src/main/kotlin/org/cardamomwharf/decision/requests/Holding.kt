/*
 * Charges answers that are larger than expected before they travel over a link. A large answer is charged piece by
 * piece as the shares refill.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.Turn
import org.cardamomwharf.decision.caps.CapCost
import org.cardamomwharf.decision.caps.CapId
import org.cardamomwharf.decision.caps.PartnerPath

internal fun Turn.hold(attempt: AttemptId, missingBytes: Long) {
    val running = state.requests.attempts[attempt] ?: return
    val peer = running.target as? Target.Peer ?: return
    val owed = chargesForAnswer(peer, missingBytes)
    state = state.copy(held = state.held.put(attempt, HeldAnswer(owed)))
    pay(attempt)
}

internal fun Turn.payHeldAnswers() {
    state.held.keys.sortedBy { it.value }.forEach { pay(it) }
}

private fun Turn.pay(attempt: AttemptId) {
    val held = state.held[attempt] ?: return
    val rest = held.owed.map { payPart(it) }.filter { it.amount > 0 }
    if (rest.isEmpty()) {
        state = state.copy(held = state.held.remove(attempt))
        add(EntryEffect.GrantCredit(attempt))
    } else {
        state = state.copy(held = state.held.put(attempt, HeldAnswer(rest)))
    }
}

private fun Turn.payPart(charge: CapCost): CapCost {
    if (charge.cap !in state.capLimiter.buckets) return charge.copy(amount = 0)
    val part = minOf(charge.amount, state.capLimiter.getAvailableUnits(charge.cap, nowMs))
    val isPaid = part > 0 && trySpend(listOf(CapCost(charge.cap, part)))
    return if (isPaid) charge.copy(amount = charge.amount - part) else charge
}

private fun Turn.chargesForAnswer(peer: Target.Peer, bytes: Long): List<CapCost> {
    val own = index?.regionByZone?.get(state.membership.self.zone)
    val other = findZone(peer)?.let { index?.regionByZone?.get(it) }
    if (own == null || other == null || own == other) return emptyList()
    val link = CapCost(CapId.LinkBytes(other.name, own.name), bytes)
    val partner = CapCost(CapId.PartnerBytes(other.partner, PartnerPath.HAND_OVER), bytes)
    return if (own.partner == other.partner) listOf(link) else listOf(link, partner)
}

private fun Turn.findZone(peer: Target.Peer): ZoneName? {
    val listed = state.membership.listed[peer.name]?.zone
    val heard = state.membership.remoteZones.values
        .flatMap { it.summary.members }
        .firstOrNull { it.member.name == peer.name }
    return heard?.member?.zone ?: listed
}
