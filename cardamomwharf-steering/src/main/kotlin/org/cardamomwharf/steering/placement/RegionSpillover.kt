/*
 * What is lent to other regions, for each service.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RegionChoice
import org.cardamomwharf.steering.servers.ServerBook

/** Represents the lending of all services at this instance. */
public class RegionSpillover(
    private val place: InstanceLocation,
    private val servers: ServerBook,
    private val largestShift: Double,
) {
    private val byService = HashMap<ServiceName, ServiceSpillover>()
    private val attemptCounts = HashMap<ServiceName, MutableMap<RegionReason, Int>>()

    internal fun of(service: ServiceName): ServiceSpillover =
        byService.getOrPut(service) { ServiceSpillover(largestShift, firstShareOf(service)) }

    /** Moves what is lent towards what gains by it. */
    public fun adjust(nowMs: Long) {
        byService.values.forEach { it.adjust(nowMs) }
    }

    /** Counts a try of a request for [service]. */
    public fun noteSent(service: ServiceName, send: Placement.Send) {
        // What leaves for want of a server isn't lent; counted, it would keep the region from lending afterwards.
        if (send.choice != RegionChoice.NO_HOME_SERVER) of(service).noteSent(isLent = send.choice == RegionChoice.LENT)
        attemptCounts.getOrPut(service) { HashMap() }.merge(RegionReason(send.region, send.choice), 1, Int::plus)
    }

    /** Returns the lending of each service, with the tries since the counts were cleared. */
    public fun reports(): List<SpilloverReport> = byService.map { (service, lending) ->
        SpilloverReport(service, lending.share, lending.targetShare, attemptCounts[service].orEmpty().toMap())
    }

    /** Clears the counts of tries. */
    public fun clearCounts() {
        attemptCounts.clear()
    }

    /** Returns the share that the region lacks slots for, when zones get equal shares of the requests. */
    private fun firstShareOf(service: ServiceName): Double {
        val open = servers.serversOf(service).filter { servers.isOpen(it) }
        val ownSlots = open.filter { it.distance != Distance.OTHER_REGION }.sumOf { it.slots }
        val ownZones = place.regions.count { it.value == place.region }
        if (open.isEmpty() || ownZones == 0) return 0.0
        val slotShare = ownSlots.toDouble() / open.sumOf { it.slots }
        val requestShare = ownZones.toDouble() / place.regions.size
        return 1.0 - slotShare / requestShare
    }
}
