/*
 * Round-trip times to other zones, measured when connections are established. Before the first measurement of a zone,
 * defaults typical of a deployment's network apply.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.servers.KnownServer

/** Default round-trip time within a zone; network latency inside one building. */
private const val SAME_ZONE_MS = 1.0

/** Default round-trip time between zones of a region; the users state about 1.5 ms one way. */
private const val SAME_REGION_MS = 4.0

/** Default round-trip time between regions; the users state 12 to 35 ms one way. */
private const val OTHER_REGION_MS = 70.0

/** Weight of a connection slower than the current estimate; low, because the time may include waiting at the server. */
private const val INCREASE_WEIGHT = 0.05

/** Estimates the round-trip time to each zone. */
public class RoundTripTimes {
    private val byZone = HashMap<ZoneName, Double>()

    /** Returns the estimated round-trip time to [server]. */
    public fun estimateMs(server: KnownServer): Double = byZone[server.record.zone] ?: defaultMs(server.distance)

    /** Records that connecting to [server] took [tookMs], which is one round trip. */
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
