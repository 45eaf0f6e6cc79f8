/*
 * Divides each cap into shares for the zones, from the document alone. A zone uses its own share only, so a network
 * partition between zones can't lead to an exceeded cap. A direction of a link is divided between the zones at both
 * ends: those at its start send requests over it, those at its end receive responses over it. Partner caps are divided
 * between hand-overs and look-ups.
 */
package org.cardamomwharf.decision.caps

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Partner
import org.cardamomwharf.decision.ownership.CAP_PARTS

private const val PERCENT = 100

/** Returns the units per second that [zone] may use of each cap, after deducting the reserve. */
public fun computeZoneShares(index: DocumentIndex, zone: ZoneName): Map<CapId, Long> {
    val region = index.regionByZone[zone] ?: return emptyMap()
    val usablePercent = PERCENT - index.document.policy.capReservePercent
    val fullShares = computeLinkShares(index, region.name) + computePartnerShares(index, zone)
    return fullShares.mapValues { (_, perSecond) -> perSecond * usablePercent / PERCENT }
}

/** Returns the units per second of a zone's share that belong to [heldParts] parts. */
public fun computeHeldRate(sharePerSecond: Long, heldParts: Int): Long = sharePerSecond * heldParts / CAP_PARTS

private fun computeLinkShares(index: DocumentIndex, region: RegionName): Map<CapId, Long> =
    index.document.links
        .filter { it.from == region || it.to == region }
        .associate { link ->
            val zonesAtEnds = countZones(index, link.from) + countZones(index, link.to)
            CapId.LinkBytes(link.from, link.to) to link.capBytesPerSecond / zonesAtEnds
        }

private fun computePartnerShares(index: DocumentIndex, zone: ZoneName): Map<CapId, Long> {
    val ownPartner = index.regionByZone.getValue(zone).partner
    return index.document.partners.flatMap { partner ->
        val path = if (partner.name == ownPartner) PartnerPath.LOOK_UP else PartnerPath.HAND_OVER
        computeShares(partner, path, getPercent(path, index), countSharingZones(index, partner, path))
    }.toMap()
}

private fun countSharingZones(index: DocumentIndex, partner: Partner, path: PartnerPath): Int {
    val isSharing = { isOwn: Boolean -> if (path == PartnerPath.LOOK_UP) isOwn else !isOwn }
    return index.document.regions.filter { isSharing(it.partner == partner.name) }.sumOf { it.zones.size }
}

private fun getPercent(path: PartnerPath, index: DocumentIndex): Int {
    val lookUpPercent = index.document.policy.capLookUpPercent
    return if (path == PartnerPath.LOOK_UP) lookUpPercent else PERCENT - lookUpPercent
}

private fun computeShares(partner: Partner, path: PartnerPath, percent: Int, zones: Int): List<Pair<CapId, Long>> {
    if (zones == 0) return emptyList()
    val divisor = PERCENT * zones.toLong()
    return listOf(
        CapId.PartnerRequests(partner.name, path) to partner.inboundRequestsPerSecond * percent / divisor,
        CapId.PartnerBytes(partner.name, path) to partner.inboundBytesPerSecond * percent / divisor,
    )
}

private fun countZones(index: DocumentIndex, region: RegionName): Int =
    index.regions[region]?.zones?.size ?: 1
