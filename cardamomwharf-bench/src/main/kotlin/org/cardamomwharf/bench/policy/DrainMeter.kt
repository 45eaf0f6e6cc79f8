/*
 * Finds how long the servers of a drained region still had work after the drain was accepted.
 */
package org.cardamomwharf.bench.policy

/** Represents the drain of a run. */
public class DrainMeter {
    private var startMs: Long? = null
    private var lastBusyMs = 0L

    /** The time from the drain to the last work in the drained region, or null when nothing was drained. */
    public val tookMs: Long? get() = startMs?.let { (lastBusyMs - it).coerceAtLeast(0) }

    /** Notes that the drain was accepted. */
    public fun start(nowMs: Long) {
        startMs = nowMs
    }

    /** Notes whether the drained region has work. */
    public fun note(isBusy: Boolean, nowMs: Long) {
        if (startMs != null && isBusy) lastBusyMs = nowMs
    }
}
