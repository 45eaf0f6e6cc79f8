/*
 * Sums up the slots of each region from heartbeats and summaries. Zones without a recent summary are left out, so
 * nothing is known about a region that is absent.
 */
package org.cardamomwharf.decision.shift

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.decision.membership.Membership
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.membership.findLivePeers
import org.cardamomwharf.decision.membership.findRemoteZones

/** Represents the slots of one service in a zone or region. */
public data class SlotUsage(public val free: Int, public val total: Int) {
    /** Returns the sum of both usages. */
    public operator fun plus(other: SlotUsage): SlotUsage = SlotUsage(free + other.free, total + other.total)
}

/** Returns the slot usage of [service] in the own zone and in each zone with a recent summary. */
public fun computeZoneUsage(
    membership: Membership,
    ownLoads: List<ServiceLoad>,
    service: ServiceName,
    nowMs: Long,
): Map<ZoneName, SlotUsage> {
    val ownZone = ownLoads + membership.findLivePeers(nowMs).flatMap { it.heartbeat.loads }
    val remote = membership.findRemoteZones(nowMs).associate { it.zone to sumLoads(it.loads, service) }
    return remote + (membership.self.zone to sumLoads(ownZone, service))
}

/** Returns the slot usage of each region as the sum of its zones. */
public fun sumByRegion(index: DocumentIndex, zones: Map<ZoneName, SlotUsage>): Map<RegionName, SlotUsage> =
    zones.entries
        .mapNotNull { (zone, usage) -> index.regionByZone[zone]?.let { it.name to usage } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, usages) -> usages.reduce(SlotUsage::plus) }

private fun sumLoads(loads: List<ServiceLoad>, service: ServiceName): SlotUsage =
    loads.filter { it.service == service }
        .fold(SlotUsage(0, 0)) { sum, load -> sum + SlotUsage(load.freeSlots, load.totalSlots) }
