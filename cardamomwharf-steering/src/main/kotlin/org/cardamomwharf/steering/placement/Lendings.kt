/*
 * What is lent to other regions, for each service.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.Place
import org.cardamomwharf.steering.servers.ServerBook

internal class Lendings(
    private val place: Place,
    private val servers: ServerBook,
    private val largestShift: Double,
) {
    private val byService = HashMap<ServiceName, RegionLending>()

    fun of(service: ServiceName): RegionLending =
        byService.getOrPut(service) { RegionLending(largestShift, firstShareOf(service)) }

    fun adjust(nowMs: Long) {
        byService.values.forEach { it.adjust(nowMs) }
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
