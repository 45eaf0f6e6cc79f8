/*
 * The entry instances that may take a request of a service, in the own zone and in others.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Region
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.Turn
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.membership.findLivePeers
import org.cardamomwharf.decision.membership.findRemoteZones

/** Represents an instance that may take the request, with its slots as last heard. */
internal data class Place(val member: Member, val region: Region, val load: ServiceLoad)

internal fun Turn.isOwnRegion(place: Place): Boolean =
    index?.regionByZone?.get(state.membership.self.zone) == place.region

internal fun Turn.findPlaces(service: Service, current: DocumentIndex): List<Place> {
    val near = state.membership.findLivePeers(nowMs).map { it.member to it.heartbeat.loads }
    val far = state.membership.findRemoteZones(nowMs)
        .flatMap { it.members }
        .filter { !it.isLeaving }
        .map { it.member to it.loads }
    return (near + far).mapNotNull { (member, loads) -> placeOf(member, loads, service, current) }
}

private fun Turn.placeOf(
    member: Member,
    loads: List<ServiceLoad>,
    service: Service,
    current: DocumentIndex,
): Place? {
    val region = current.regionByZone[member.zone]
    val load = loads.firstOrNull { it.service == service.name }
    val isDrained = current.isDrained(service.name, member.zone, state.epochSeconds)
    return if (region == null || load == null || isDrained) null else Place(member, region, load)
}

internal fun Turn.countFree(place: Place, request: OpenRequest, service: Service): Int {
    val isReserved = !service.isIdempotent && !isHeavy(request.spec, service)
    val reserved = if (isReserved) place.load.totalSlots * policy.reservedSlotsPercent / PERCENT else 0
    return place.load.freeSlots - reserved - state.requests.countHandOvers(place.member.name, service.name)
}

private const val PERCENT = 100

internal fun Turn.isInTime(place: Place, request: OpenRequest, service: Service, current: DocumentIndex): Boolean {
    val delays = current.document.delays
    val oneWayMs = when {
        place.member.zone == state.membership.self.zone -> 0.0
        isOwnRegion(place) -> delays.betweenZonesMs
        else -> delays.betweenRegionsMs
    }
    return 2 * oneWayMs + expectMs(service) <= request.spec.deadlineAtMs - nowMs
}
