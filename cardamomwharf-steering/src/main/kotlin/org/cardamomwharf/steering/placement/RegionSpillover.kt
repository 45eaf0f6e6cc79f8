/*
 * What is lent to other regions, for each service.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RegionChoice
import org.cardamomwharf.steering.servers.ServerRegistry

/** Represents the lending of all services at this instance. */
public class RegionSpillover(
    private val location: InstanceLocation,
    private val servers: ServerRegistry,
    private val maxShift: Double,
) {
    private val byService = HashMap<ServiceName, ServiceSpillover>()
    private val attemptCounts = HashMap<ServiceName, MutableMap<RegionReason, Int>>()

    internal fun getForService(service: ServiceName): ServiceSpillover =
        byService.getOrPut(service) { ServiceSpillover(maxShift, initialShareFor(service)) }

    /** Moves what is lent towards what gains by it. */
    public fun adjust(nowMs: Long) {
        byService.values.forEach { it.adjust(nowMs) }
    }

    /** Counts a try of a request for [service]. */
    public fun recordAttempt(service: ServiceName, send: Placement.Send) {
        // What leaves for want of a server isn't lent; counted, it would keep the region from lending afterwards.
        if (send.choice != RegionChoice.NO_HOME_SERVER) {
            getForService(service).recordAttempt(isSpilledOver = send.choice == RegionChoice.SPILLOVER)
        }
        attemptCounts.getOrPut(service) { HashMap() }.merge(RegionReason(send.region, send.choice), 1, Int::plus)
    }

    /** Returns the lending of each service, with the tries since the counts were cleared. */
    public fun reports(): List<SpilloverReport> = byService.map { (service, serviceSpillover) ->
        val counts = attemptCounts[service].orEmpty().toMap()
        SpilloverReport(service, serviceSpillover.share, serviceSpillover.targetShare, counts)
    }

    /** Clears the counts of tries. */
    public fun clearCounts() {
        attemptCounts.clear()
    }

    /** Returns the share that the region lacks slots for, when zones get equal shares of the requests. */
    private fun initialShareFor(service: ServiceName): Double {
        val eligible = servers.findByService(service).filter { servers.isEligible(it) }
        val ownSlots = eligible.filter { it.distance != Distance.OTHER_REGION }.sumOf { it.slots }
        val ownZones = location.regions.count { it.value == location.region }
        if (eligible.isEmpty() || ownZones == 0) return 0.0
        val slotShare = ownSlots.toDouble() / eligible.sumOf { it.slots }
        val requestShare = ownZones.toDouble() / location.regions.size
        return 1.0 - slotShare / requestShare
    }
}
