/*
 * A moving average that returns to its baseline value while nothing is observed, so that a backend server that is left
 * alone for what it did gets another chance.
 */
package org.cardamomwharf.steering.servers

import kotlin.math.exp

/**
 * Represents the average.
 *
 * @param decayMs time in which about two thirds of the difference from [baseline] fade.
 */
public class DecayingAverage(private val baseline: Double, private val decayMs: Double) {
    private var value = baseline
    private var updatedAtMs = 0L

    /** Returns the average at [nowMs]. */
    public fun valueAt(
        nowMs: Long
    ): Double = baseline + (value - baseline) * exp(-(nowMs - updatedAtMs).coerceAtLeast(0) / decayMs)

    /** Notes [observed] with [weight]. */
    public fun add(observed: Double, weight: Double, nowMs: Long) {
        val current = valueAt(nowMs)
        value = current + weight * (observed - current)
        updatedAtMs = nowMs
    }

    /** Returns to the baseline value. */
    public fun reset() {
        value = baseline
    }
}
