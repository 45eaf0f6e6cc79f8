/*
 * The time after an outage of the store in which entries that lapsed during it may come back.
 */
package org.cardamomwharf.steering.store

/**
 * Represents the grace period.
 *
 * @param durationMs time after an outage for which removed entries are kept.
 */
public class GracePeriod(private val durationMs: Long) {
    /** Time at which the grace period ends. */
    public var endsAtMs: Long = Long.MIN_VALUE
        private set

    /** Returns the rest of the grace period; 0 when there is none. */
    public fun remainingMs(nowMs: Long): Long = if (nowMs < endsAtMs) endsAtMs - nowMs else 0

    /** Notes that the store answers again after an outage. */
    public fun start(nowMs: Long) {
        endsAtMs = nowMs + durationMs
    }

    /** Takes over the grace period of another process, which has [leftMs] left. */
    public fun extend(leftMs: Long, nowMs: Long) {
        if (leftMs > 0) endsAtMs = maxOf(endsAtMs, nowMs + minOf(leftMs, durationMs))
    }
}
