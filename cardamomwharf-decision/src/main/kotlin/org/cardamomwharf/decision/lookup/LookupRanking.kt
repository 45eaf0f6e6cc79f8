/*
 * Ranks entry instances for a client: first the region that the split assigns to the client, next the client's own
 * region, then the others by the document's weights. Within a region instances are ranked by their free slots and a
 * seeded hash of the client's address, so that the same client gets the same response and clients spread in proportion
 * to free slots. The returned short list spans zones and regions, so that a cached response remains usable when an
 * instance or a zone fails.
 */
package org.cardamomwharf.decision.lookup

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.core.weightedRank

private const val DEFAULT_WEIGHT = 1

/** Represents the rank of one candidate; `explain` shows it. */
public data class Placement(
    public val candidate: LookupCandidate,
    public val region: RegionName,
    public val tier: Tier,
    public val freeSlots: Int,
    public val rank: Double,
)

/** Represents how well the zone and region of a candidate suit the client, best first. */
public enum class Tier { CLIENT_ZONE, TARGET_REGION, CLIENT_REGION, OTHER_REGION, FULL, NOT_SERVED }

/** Returns the ranked short list for a client at [address] whose block belongs to [clientZone]. */
public fun LookupView.rank(service: Service, clientZone: ZoneName, address: String): List<Placement> {
    val placements = rankAll(service, clientZone, address)
    return selectAcrossZones(placements, index.document.policy.lookupCandidates)
}

/** Returns all candidates, best first. */
public fun LookupView.rankAll(service: Service, clientZone: ZoneName, address: String): List<Placement> {
    val clientRegion = index.regionByZone[clientZone]?.name ?: home
    val target = findTargetRegion(service, clientRegion, address)
    val location = ClientLocation(clientZone, clientRegion, target, address, findFullZones(service))
    val weights = service.regionWeights.associate { it.region to it.weight }
    return candidates
        .mapNotNull { createPlacement(it, service, location) }
        .sortedWith(
            compareBy<Placement> { it.tier }
                .thenByDescending { if (it.tier == Tier.OTHER_REGION) weights[it.region] ?: DEFAULT_WEIGHT else 0 }
                .thenByDescending { it.rank }
                .thenBy { it.candidate.member.name.value },
        )
}

/** Represents the zone and region of a client, with the region that the split assigns to it. */
private data class ClientLocation(
    val zone: ZoneName,
    val region: RegionName,
    val target: RegionName,
    val address: String,
    val fullZones: Set<ZoneName>,
)

private fun LookupView.findTargetRegion(service: Service, clientRegion: RegionName, address: String): RegionName {
    val split = splits[service.name]
    if (clientRegion != home || split == null) return clientRegion
    return split.chooseRegion(hashToUnitInterval("${service.name.value}/$address"), clientRegion)
}

private fun LookupView.createPlacement(
    candidate: LookupCandidate,
    service: Service,
    client: ClientLocation,
): Placement? {
    val member = candidate.member
    val region = index.regionByZone[member.zone]?.name ?: return null
    val free = candidate.loads.filter { it.service == service.name }.sumOf { it.freeSlots }
    val tier = findTier(member.zone, region, service, client)
    val rank = weightedRank("${service.name.value}/${client.address}", member.name.value, weight = free + 1.0)
    return Placement(candidate, region, tier, free, rank)
}

private fun LookupView.findTier(
    zone: ZoneName,
    region: RegionName,
    service: Service,
    client: ClientLocation,
): Tier {
    val isServed = index.findPool(service.name, zone) != null && DrainedPool(service.name, zone) !in drained
    val isNear = index.document.objective == Objective.LATENCY && zone == client.zone
    return when {
        !isServed -> Tier.NOT_SERVED
        zone in client.fullZones -> Tier.FULL
        region == client.target && isNear -> Tier.CLIENT_ZONE
        region == client.target -> Tier.TARGET_REGION
        region == client.region -> Tier.CLIENT_REGION
        else -> Tier.OTHER_REGION
    }
}

/** Returns the zones in which no instance has a free slot of [service]. */
private fun LookupView.findFullZones(service: Service): Set<ZoneName> {
    val available = candidates
        .filter { candidate -> candidate.loads.any { it.service == service.name && it.freeSlots > 0 } }
        .map { it.member.zone }
        .toSet()
    return candidates.map { it.member.zone }.filter { it !in available }.toSet()
}

private fun selectAcrossZones(placements: List<Placement>, count: Int): List<Placement> {
    if (placements.size <= count) return placements
    val first = placements.first()
    val otherZone = placements.firstOrNull { it.candidate.member.zone != first.candidate.member.zone }
    val otherRegion = placements.firstOrNull { it.region != first.region }
    val required = listOfNotNull(first, otherZone, otherRegion).distinct().take(count)
    val fill = placements.filter { it !in required }.take(count - required.size)
    return placements.filter { it in required || it in fill }
}
