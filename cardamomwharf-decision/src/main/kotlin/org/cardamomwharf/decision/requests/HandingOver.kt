/*
 * Hands a request over to another entry instance. Inside the own region no cap applies; between regions the charges for
 * the link and the partner are made before anything is sent, and the receiving zone admits or refuses at once.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.PeerAddress
import org.cardamomwharf.decision.Turn
import org.cardamomwharf.decision.caps.CapCost
import org.cardamomwharf.decision.caps.CapId
import org.cardamomwharf.decision.caps.LoanRequest
import org.cardamomwharf.decision.caps.PartnerPath
import org.cardamomwharf.decision.membership.findLivePeers
import org.cardamomwharf.decision.shift.getShiftRule

/** Bytes that are charged for the heads of a request and its answer. */
internal const val HEAD_BYTES: Long = 1_024

private const val LOAN_INTERVAL_MS = 1_000L
private const val LOAN_SECONDS_OF_CHARGE = 10

/** Represents why a request was not handed over, or that it was. */
internal sealed interface HandOverRefusal {
    data object Sent : HandOverRefusal

    data object Capped : HandOverRefusal

    data object Full : HandOverRefusal

    data object NoPlace : HandOverRefusal
}

internal fun Turn.handOver(request: OpenRequest, service: Service, current: DocumentIndex): HandOverRefusal {
    if (state.membership.self.zone !in current.regionByZone) return HandOverRefusal.NoPlace
    val places = findPlaces(service, current)
        .filter { it.member.name !in request.triedPeers && !state.suspects.isSuspect(it.member.name, nowMs) }
    val free = places.filter { countFree(it, request, service) > 0 && isInTime(it, request, service, current) }
    return when {
        places.isEmpty() -> HandOverRefusal.NoPlace
        free.isEmpty() -> HandOverRefusal.Full
        else -> handOverToOne(order(free, request, service, current), request, service, current)
    }
}

/** Hands over to the first of the ordered places whose caps allow it. */
private fun Turn.handOverToOne(
    places: List<Place>,
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
): HandOverRefusal {
    val place = places.firstOrNull { trySpend(chargesFor(it, request, service, current)) }
    if (place == null) {
        askForLoan(places.first(), request, service, current)
        return HandOverRefusal.Capped
    }
    send(request, service, place)
    return HandOverRefusal.Sent
}

private fun Turn.send(request: OpenRequest, service: Service, place: Place) {
    val attempt = startAttempt(request, Target.Peer(place.member.name))
    add(
        EntryEffect.HandOver(
            request = request.spec.id,
            attempt = attempt,
            claimAttempt = request.claimAttempt,
            peer = place.member.name,
            address = place.member.peerAddress,
            creditBytes = if (isOwnRegion(place)) Long.MAX_VALUE else service.expectedResponseBytes,
        ),
    )
}

private fun Turn.order(
    places: List<Place>,
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
): List<Place> {
    val rule = getShiftRule(current.document.objective)
    val weights = service.regionWeights.associate { it.region to it.weight }
    return places.sortedWith(
        compareBy<Place> { it.member.zone != state.membership.self.zone }
            .thenBy { !isOwnRegion(it) }
            .thenByDescending { place ->
                rule.computePreference(countFree(place, request, service), weights[place.region.name] ?: 1)
            }
            .thenByDescending { countFree(it, request, service) }
            .thenBy { it.member.name.value },
    )
}

private fun Turn.chargesFor(
    place: Place,
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
): List<CapCost> {
    val own = current.regionByZone[state.membership.self.zone]
    if (own == null || own == place.region) return emptyList()
    val sentBytes = request.spec.requestBytes + HEAD_BYTES
    val receivedBytes = service.expectedResponseBytes + HEAD_BYTES
    val link = listOf(
        CapCost(CapId.LinkBytes(own.name, place.region.name), sentBytes),
        CapCost(CapId.LinkBytes(place.region.name, own.name), receivedBytes),
    )
    val partner = listOf(
        CapCost(CapId.PartnerRequests(place.region.partner, PartnerPath.HAND_OVER), 1),
        CapCost(CapId.PartnerBytes(place.region.partner, PartnerPath.HAND_OVER), sentBytes + receivedBytes),
    )
    return if (own.partner == place.region.partner) link else link + partner
}

/** Asks a peer of the own zone for a part of its shares, at most once in an interval for each cap. */
private fun Turn.askForLoan(place: Place, request: OpenRequest, service: Service, current: DocumentIndex) {
    val lacking = chargesFor(place, request, service, current)
        .filter { state.capLimiter.getAvailableUnits(it.cap, nowMs) < it.amount }
        .filter { nowMs - (state.loanAskedAtMs[it.cap] ?: Long.MIN_VALUE / 2) >= LOAN_INTERVAL_MS }
    val peers = state.membership.findLivePeers(nowMs).map { it.member }
    if (peers.isEmpty()) return
    for (charge in lacking) {
        val asked = state.loanAskedAtMs.put(charge.cap, nowMs)
        val lender = peers[(nowMs / LOAN_INTERVAL_MS % peers.size).toInt()]
        val units = charge.amount * LOAN_SECONDS_OF_CHARGE
        val loan = LoanRequest(state.membership.self.name, charge.cap, units, askedAtMs = nowMs)
        state = state.copy(loanAskedAtMs = asked)
        add(EntryEffect.RequestLoan(PeerAddress(lender.name, lender.peerAddress), loan))
    }
}
