/*
 * Adds up what heartbeats and summaries tell about the slots of each region. Places that weren't heard lately are left
 * out, so an absent region means that nothing is known.
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

/** Represents the slots of one service in one place. */
public data class SlotUsage(public val free: Int, public val total: Int) {
    /** Returns the sum of two places. */
    public operator fun plus(other: SlotUsage): SlotUsage = SlotUsage(free + other.free, total + other.total)
}

/** Returns the slot use of [service] in each zone that was heard lately, the own zone included. */
public fun computeZoneUsage(
    membership: Membership,
    ownLoads: List<ServiceLoad>,
    service: ServiceName,
    nowMs: Long,
): Map<ZoneName, SlotUsage> {
    val ownZone = ownLoads + membership.findLivePeers(nowMs).flatMap { it.heartbeat.loads }
    val remote = membership.findRemoteZones(nowMs).associate { it.zone to sumOf(it.loads, service) }
    return remote + (membership.self.zone to sumOf(ownZone, service))
}

/** Returns the slot use of each region from that of its zones. */
public fun sumByRegion(index: DocumentIndex, zones: Map<ZoneName, SlotUsage>): Map<RegionName, SlotUsage> =
    zones.entries
        .mapNotNull { (zone, use) -> index.regionByZone[zone]?.let { it.name to use } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, uses) -> uses.reduce(SlotUsage::plus) }

private fun sumOf(loads: List<ServiceLoad>, service: ServiceName): SlotUsage =
    loads.filter { it.service == service }
        .fold(SlotUsage(0, 0)) { sum, load -> sum + SlotUsage(load.freeSlots, load.totalSlots) }
