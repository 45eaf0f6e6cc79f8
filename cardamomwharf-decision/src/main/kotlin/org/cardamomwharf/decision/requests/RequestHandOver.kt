/*
 * Hands a request over to another entry instance. No cap applies within the own region; between regions the costs for
 * the link and the partner are charged before anything is sent, and the receiving zone admits or refuses at once.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.PeerAddress
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.caps.CapCost
import org.cardamomwharf.decision.caps.CapId
import org.cardamomwharf.decision.caps.LoanRequest
import org.cardamomwharf.decision.caps.PartnerPath
import org.cardamomwharf.decision.membership.findLivePeers
import org.cardamomwharf.decision.shift.getShiftRule

/** Bytes that are charged for the head of a request, and again for the head of its response. */
internal const val HEAD_BYTES: Long = 1_024

private const val LOAN_INTERVAL_MS = 1_000L
private const val LOAN_COST_MULTIPLE = 10

/** Represents the outcome of an attempt to hand a request over. */
internal sealed interface HandOverOutcome {
    data object Sent : HandOverOutcome

    data object CapReached : HandOverOutcome

    data object NoFreeSlot : HandOverOutcome

    data object NoCandidate : HandOverOutcome
}

internal fun StepContext.handOver(request: OpenRequest, service: Service, current: DocumentIndex): HandOverOutcome {
    if (state.membership.self.zone !in current.regionByZone) return HandOverOutcome.NoCandidate
    val candidates = findHandOverCandidates(service, current)
        .filter { it.member.name !in request.triedPeers && !state.suspects.isSuspect(it.member.name, nowMs) }
    val free = candidates.filter { countFree(it, request, service) > 0 && isInTime(it, request, service, current) }
    return when {
        candidates.isEmpty() -> HandOverOutcome.NoCandidate
        free.isEmpty() -> HandOverOutcome.NoFreeSlot
        else -> handOverToFirstAllowed(rankCandidates(free, request, service, current), request, service, current)
    }
}

/** Hands the request over to the first of the ranked candidates that the caps allow. */
private fun StepContext.handOverToFirstAllowed(
    candidates: List<HandOverCandidate>,
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
): HandOverOutcome {
    val candidate = candidates.firstOrNull { trySpend(getHandOverCosts(it, request, service, current)) }
    if (candidate == null) {
        requestLoan(candidates.first(), request, service, current)
        return HandOverOutcome.CapReached
    }
    send(request, service, candidate)
    return HandOverOutcome.Sent
}

private fun StepContext.send(request: OpenRequest, service: Service, candidate: HandOverCandidate) {
    val attempt = startAttempt(request, Target.Peer(candidate.member.name))
    emit(
        EntryEffect.HandOver(
            request = request.spec.id,
            attempt = attempt,
            claimAttempt = request.claimAttempt,
            peer = candidate.member.name,
            address = candidate.member.peerAddress,
            creditBytes = if (isOwnRegion(candidate)) Long.MAX_VALUE else service.expectedResponseBytes,
        ),
    )
}

private fun StepContext.rankCandidates(
    candidates: List<HandOverCandidate>,
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
): List<HandOverCandidate> {
    val rule = getShiftRule(current.document.objective)
    val weights = service.regionWeights.associate { it.region to it.weight }
    return candidates.sortedWith(
        compareBy<HandOverCandidate> { it.member.zone != state.membership.self.zone }
            .thenBy { !isOwnRegion(it) }
            .thenByDescending { candidate ->
                rule.computePreference(countFree(candidate, request, service), weights[candidate.region.name] ?: 1)
            }
            .thenByDescending { countFree(it, request, service) }
            .thenBy { it.member.name.value },
    )
}

private fun StepContext.getHandOverCosts(
    candidate: HandOverCandidate,
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
): List<CapCost> {
    val own = current.regionByZone[state.membership.self.zone]
    if (own == null || own == candidate.region) return emptyList()
    val sentBytes = request.spec.requestBytes + HEAD_BYTES
    val receivedBytes = service.expectedResponseBytes + HEAD_BYTES
    val link = listOf(
        CapCost(CapId.LinkBytes(own.name, candidate.region.name), sentBytes),
        CapCost(CapId.LinkBytes(candidate.region.name, own.name), receivedBytes),
    )
    val partner = listOf(
        CapCost(CapId.PartnerRequests(candidate.region.partner, PartnerPath.HAND_OVER), 1),
        CapCost(CapId.PartnerBytes(candidate.region.partner, PartnerPath.HAND_OVER), sentBytes + receivedBytes),
    )
    return if (own.partner == candidate.region.partner) link else link + partner
}

/** Requests a quota loan from a peer of the own zone, at most once per interval and cap. */
private fun StepContext.requestLoan(
    candidate: HandOverCandidate,
    request: OpenRequest,
    service: Service,
    current: DocumentIndex
) {
    val lacking = getHandOverCosts(candidate, request, service, current)
        .filter { state.capLimiter.getAvailableUnits(it.cap, nowMs) < it.amount }
        .filter { nowMs - (state.loanRequestedAtMs[it.cap] ?: Long.MIN_VALUE / 2) >= LOAN_INTERVAL_MS }
    val peers = state.membership.findLivePeers(nowMs).map { it.member }
    if (peers.isEmpty()) return
    for (charge in lacking) {
        val requestedAtMs = state.loanRequestedAtMs.put(charge.cap, nowMs)
        val lender = peers[(nowMs / LOAN_INTERVAL_MS % peers.size).toInt()]
        val units = charge.amount * LOAN_COST_MULTIPLE
        val loan = LoanRequest(state.membership.self.name, charge.cap, units, askedAtMs = nowMs)
        state = state.copy(loanRequestedAtMs = requestedAtMs)
        emit(EntryEffect.RequestLoan(PeerAddress(lender.name, lender.peerAddress), loan))
    }
}
