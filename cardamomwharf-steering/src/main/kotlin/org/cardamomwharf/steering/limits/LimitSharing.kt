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
public class LimitSharing(private val location: InstanceLocation) {
    private var zones: Map<InstanceName, ZoneName> = emptyMap()

    /** Number of instances that share, this one included; 0 while they aren't known. */
    public val instanceCount: Int get() = zones.size

    /** Sets the instances that share with this one. */
    public fun update(live: Map<InstanceName, ZoneName>) {
        zones = live + (location.instance to location.zone)
    }

    /**
     * Returns this instance's part of the [ratePerSecond] that the cold [server] bears. Instances of the server's own
     * region send to it; others only while that region has none.
     */
    public fun coldQuotaPerSecond(server: KnownServer, ratePerSecond: Double): Double {
        if (zones.isEmpty()) return 0.0
        val inRegion = zones.filterValues { location.regions[it] == server.region }.keys
        return coldQuotaPerSecond(location.instance, server.record.name, inRegion.ifEmpty { zones.keys }, ratePerSecond)
    }
}
