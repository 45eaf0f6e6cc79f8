/*
 * The grace period after an outage of the store, in which entries that expired during the outage may be renewed.
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

    /** Returns the remaining time of the grace period, or 0 when it has ended. */
    public fun remainingMs(nowMs: Long): Long = if (nowMs < endsAtMs) endsAtMs - nowMs else 0

    /** Starts the grace period when the store responds again after an outage. */
    public fun start(nowMs: Long): Unit = start(nowMs, durationMs)

    /** Starts a grace period of [durationMs], unless it already lasts longer. */
    internal fun start(nowMs: Long, durationMs: Long) {
        endsAtMs = maxOf(endsAtMs, nowMs + durationMs)
    }

    /** Extends the grace period to that of another process, which lasts for another [peerRemainingMs]. */
    public fun extend(peerRemainingMs: Long, nowMs: Long) {
        if (peerRemainingMs > 0) endsAtMs = maxOf(endsAtMs, nowMs + minOf(peerRemainingMs, durationMs))
    }
}
