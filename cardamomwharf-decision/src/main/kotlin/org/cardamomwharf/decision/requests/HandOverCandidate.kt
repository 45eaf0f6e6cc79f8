/*
 * Finds the entry instances that a request may be handed over to, in the own zone and in others.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Region
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.membership.findLivePeers
import org.cardamomwharf.decision.membership.findRemoteZones

/** Represents an instance that may receive the request, with its last reported slots. */
internal data class HandOverCandidate(val member: Member, val region: Region, val load: ServiceLoad)

internal fun StepContext.isOwnRegion(candidate: HandOverCandidate): Boolean =
    index?.regionByZone?.get(state.membership.self.zone) == candidate.region

internal fun StepContext.findHandOverCandidates(service: Service, current: DocumentIndex): List<HandOverCandidate> {
    val near = state.membership.findLivePeers(nowMs).map { it.member to it.heartbeat.loads }
    val far = state.membership.findRemoteZones(nowMs)
        .flatMap { it.members }
        .filter { !it.isLeaving }
        .map { it.member to it.loads }
    return (near + far).mapNotNull { (member, loads) -> createCandidate(member, loads, service, current) }
}

private fun StepContext.createCandidate(
    member: Member,
    loads: List<ServiceLoad>,
    service: Service,
    current: DocumentIndex,
): HandOverCandidate? {
    val region = current.regionByZone[member.zone]
    val load = loads.firstOrNull { it.service == service.name }
    val isDrained = current.isDrained(service.name, member.zone, state.epochSeconds)
    return if (region == null || load == null || isDrained) null else HandOverCandidate(member, region, load)
}

internal fun StepContext.countFree(candidate: HandOverCandidate, request: OpenRequest, service: Service): Int {
    val isReserved = !service.isIdempotent && !mayUseReservedCapacity(request.spec, service)
    val reserved = if (isReserved) candidate.load.totalSlots * policy.reservedSlotsPercent / PERCENT else 0
    return candidate.load.freeSlots - reserved - state.requests.countHandOvers(candidate.member.name, service.name)
}

private const val PERCENT = 100

internal fun StepContext.isInTime(
    candidate: HandOverCandidate,
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
): Boolean {
    val delays = current.document.delays
    val oneWayMs = when {
        candidate.member.zone == state.membership.self.zone -> 0.0
        isOwnRegion(candidate) -> delays.betweenZonesMs
        else -> delays.betweenRegionsMs
    }
    return 2 * oneWayMs + estimateServiceMs(service) <= request.spec.deadlineAtMs - nowMs
}
