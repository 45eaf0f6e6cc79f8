/*
 * The time that requests and answers spend on the way. It is learnt for each zone from the time that new connections
 * take; before the first one the usual times of a deployment's networks count.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.servers.KnownServer

/** There and back inside a zone before it is measured; network delay inside one building. */
private const val SAME_ZONE_MS = 1.0

/** There and back between zones of a region before it is measured; the users name about 1.5 ms one way. */
private const val SAME_REGION_MS = 4.0

/** There and back between regions before it is measured; the users name 12 to 35 ms one way. */
private const val OTHER_REGION_MS = 70.0

/** Weight of a connection that took longer than the known time; waits at the server must hardly count. */
private const val INCREASE_WEIGHT = 0.05

/** Represents the learnt times there and back. */
public class RoundTripTimes {
    private val byZone = HashMap<ZoneName, Double>()

    /** Returns the time there and back to [server]. */
    public fun estimateMs(server: KnownServer): Double = byZone[server.record.zone] ?: defaultMs(server.distance)

    /** Notes that a connection to [server] took [tookMs], which is once there and back. */
    public fun record(server: KnownServer, tookMs: Long) {
        val known = byZone[server.record.zone]
        val measuredMs = tookMs.toDouble()
        byZone[server.record.zone] = when {
            known == null || measuredMs < known -> measuredMs
            else -> known + INCREASE_WEIGHT * (measuredMs - known)
        }
    }

    private fun defaultMs(distance: Distance): Double = when (distance) {
        Distance.SAME_ZONE -> SAME_ZONE_MS
        Distance.SAME_REGION -> SAME_REGION_MS
        Distance.OTHER_REGION -> OTHER_REGION_MS
    }
}
