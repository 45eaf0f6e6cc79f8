/*
 * The instances that share limits with this one. Until they are known, a process that has just started counts none of
 * the shared limits as its own, because all instances may have started together.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.servers.KnownServer

/** Represents the instances that share limits. */
public class Sharers(private val place: InstanceLocation) {
    private var zones: Map<InstanceName, ZoneName> = emptyMap()

    /** Number of instances that share, this one included; 0 while they aren't known. */
    public val count: Int get() = zones.size

    /** Sets the instances that share with this one. */
    public fun replace(live: Map<InstanceName, ZoneName>) {
        zones = live + (place.instance to place.zone)
    }

    /**
     * Returns this instance's part of the [ratePerSecond] that the cold [server] bears. Instances of the server's own
     * region send to it; others only while that region has none.
     */
    public fun coldPartPerSecond(server: KnownServer, ratePerSecond: Double): Double {
        if (zones.isEmpty()) return 0.0
        val near = zones.filterValues { place.regions[it] == server.region }.keys
        return coldPartPerSecond(place.instance, server.record.name, near.ifEmpty { zones.keys }, ratePerSecond)
    }
}
