/*
 * Measures how long the servers of a drained region remain busy after the drain is accepted.
 */
package org.cardamomwharf.bench.policy

/** Measures the drain of a run. */
public class DrainMeter {
    private var startMs: Long? = null
    private var lastBusyMs = 0L

    /** The time from the drain until the drained region was last busy, or null if nothing was drained. */
    public val durationMs: Long? get() = startMs?.let { (lastBusyMs - it).coerceAtLeast(0) }

    /** Records that the drain was accepted. */
    public fun start(nowMs: Long) {
        startMs = nowMs
    }

    /** Records whether the drained region is busy at [nowMs]. */
    public fun recordActivity(isBusy: Boolean, nowMs: Long) {
        if (startMs != null && isBusy) lastBusyMs = nowMs
    }
}
