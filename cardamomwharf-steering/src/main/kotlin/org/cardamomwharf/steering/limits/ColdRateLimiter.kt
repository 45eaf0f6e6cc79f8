/*
 * A cold backend server bears few requests per second from all instances together. Instances don't ask each other: a
 * few of them, the same in every view, may send to it, and each keeps to its part of the rate.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.rendezvousTop

/** Requests per second below which a part isn't worth dividing further. */
private const val MIN_QUOTA_PER_SECOND = 2.0
private const val MS_PER_SECOND = 1_000.0

/** Represents the part of one instance in the allowance of one cold backend server. */
public class ColdRateLimiter {
    private var nextAllowedAtMs = Long.MIN_VALUE

    /** Returns true when a request may be sent now under [ratePerSecond]. */
    public fun isAllowed(nowMs: Long, ratePerSecond: Double): Boolean = ratePerSecond > 0 && nowMs >= nextAllowedAtMs

    /** Counts a request that is sent now. */
    public fun recordRequest(nowMs: Long, ratePerSecond: Double) {
        nextAllowedAtMs = nowMs + (MS_PER_SECOND / ratePerSecond).toLong()
    }
}

/** Returns the requests per second that [self] may send to the cold [server], 0 when it isn't among the senders. */
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
