/*
 * The live instances, which share limits. A process that has just started doesn't know them and uses no quota of the
 * shared limits until it does, because all instances may have started together.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.servers.KnownServer

/** Time after which an instance that is no longer seen gives up its part of announced limits; longer than a restart. */
private const val FORGET_AFTER_MS = 30_000L

/** Divides shared limits among the live instances. */
public class LimitSharing(private val location: InstanceLocation) {
    private var zones: Map<InstanceName, ZoneName> = emptyMap()
    private val seenAtMs = HashMap<InstanceName, Long>()
    private val recentZones = HashMap<InstanceName, ZoneName>()
    private val announcedIntervals = HashMap<ServerName, CachedInterval>()

    /** Number of instances that share limits, including this one; 0 while they are unknown. */
    public val instanceCount: Int get() = zones.size

    /** Sets the [live] instances. */
    public fun update(live: Map<InstanceName, ZoneName>, nowMs: Long) {
        zones = live + (location.instance to location.zone)
        recentZones.putAll(zones)
        zones.keys.forEach { seenAtMs[it] = nowMs }
        val isForgotten = { name: InstanceName -> nowMs - (seenAtMs[name] ?: nowMs) > FORGET_AFTER_MS }
        recentZones.keys.removeIf(isForgotten)
        seenAtMs.keys.removeIf(isForgotten)
        announcedIntervals.clear()
    }

    /**
     * Returns the interval between requests of this instance to [server], which announces a limit of [perSecond] for
     * all instances together, or null while the others are unknown. Instances that were seen a while ago count as well,
     * because they may only be out of reach.
     */
    public fun announcedIntervalMs(server: KnownServer, perSecond: Double): Double? {
        if (zones.isEmpty()) return null
        val cached = announcedIntervals[server.record.name]?.takeIf { it.perSecond == perSecond }
        return (cached ?: computeInterval(server, perSecond)).intervalMs
    }

    /** Returns the phase at which this instance begins to send to [server] under an announced limit. */
    public fun announcedPhase(server: KnownServer): Double = announcedPhase(location.instance, server.record.name)

    private fun computeInterval(server: KnownServer, perSecond: Double): CachedInterval {
        val inRegion = recentZones.filterValues { location.regions[it] == server.region }.keys
        val nearby = inRegion.ifEmpty { recentZones.keys }
        val name = server.record.name
        val intervalMs = announcedIntervalMs(location.instance, name, nearby, recentZones.keys, perSecond)
        return CachedInterval(perSecond, intervalMs).also { announcedIntervals[name] = it }
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

    private class CachedInterval(val perSecond: Double, val intervalMs: Double)
}
