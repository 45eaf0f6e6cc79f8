/*
 * The live instances, which share limits. A process that has just started doesn't know them and uses no quota of the
 * shared limits until it does, because all instances may have started together.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.servers.KnownServer

/** Divides shared limits among the live instances. */
public class LimitSharing(private val location: InstanceLocation) {
    private var zones: Map<InstanceName, ZoneName> = emptyMap()

    /** Number of instances that share limits, including this one; 0 while they are unknown. */
    public val instanceCount: Int get() = zones.size

    /** Sets the [live] instances. */
    public fun update(live: Map<InstanceName, ZoneName>) {
        zones = live + (location.instance to location.zone)
    }

    /**
     * Returns this instance's quota of the [ratePerSecond] that the cold [server] tolerates. Only instances in the
     * server's region send to it, or all instances while the region has none.
     */
    public fun coldQuotaPerSecond(server: KnownServer, ratePerSecond: Double): Double {
        if (zones.isEmpty()) return 0.0
        val inRegion = zones.filterValues { location.regions[it] == server.region }.keys
        return coldQuotaPerSecond(location.instance, server.record.name, inRegion.ifEmpty { zones.keys }, ratePerSecond)
    }
}
