/*
 * Rate limit for requests to cold backend servers, which tolerate few requests per second from all instances together.
 * The instances don't coordinate: a few of them, the same in every view, may send to the server, each with an equal
 * quota of the rate.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.rendezvousTop

/** Minimum rate of an instance; below it, the rate is divided among fewer instances. */
private const val MIN_QUOTA_PER_SECOND = 2.0
private const val MS_PER_SECOND = 1_000.0

/** Limits the rate of requests from this instance to one cold backend server. */
public class ColdRateLimiter {
    private var nextAllowedAtMs = Long.MIN_VALUE

    /** Returns true when a request may be sent now under [ratePerSecond]. */
    public fun isAllowed(nowMs: Long, ratePerSecond: Double): Boolean = ratePerSecond > 0 && nowMs >= nextAllowedAtMs

    /** Records a request that is sent now. */
    public fun recordRequest(nowMs: Long, ratePerSecond: Double) {
        nextAllowedAtMs = nowMs + (MS_PER_SECOND / ratePerSecond).toLong()
    }
}

/** Returns the requests per second that [self] may send to the cold [server], or 0 when other instances send to it. */
public fun coldQuotaPerSecond(
    self: InstanceName,
    server: ServerName,
    instances: Collection<InstanceName>,
    coldPerSecond: Double,
): Double {
    val senders = (coldPerSecond / MIN_QUOTA_PER_SECOND).toInt().coerceIn(1, instances.size.coerceAtLeast(1))
    val chosen = rendezvousTop(server.value, instances, senders) { it.value }
    return if (self in chosen) coldPerSecond / senders else 0.0
}
