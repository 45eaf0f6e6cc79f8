/*
 * A moving average that decays to a baseline while nothing is observed, so that a backend server without requests gets
 * another chance.
 */
package org.cardamomwharf.steering.servers

import kotlin.math.exp

/**
 * Represents a moving average that decays to [baseline].
 *
 * @param decayMs time constant of the decay; about two thirds of the difference from [baseline] decay in it.
 */
public class DecayingAverage(private val baseline: Double, private val decayMs: Double) {
    private var value = baseline
    private var updatedAtMs = 0L

    /** Returns the average at [nowMs]. */
    public fun valueAt(
        nowMs: Long
    ): Double = baseline + (value - baseline) * exp(-(nowMs - updatedAtMs).coerceAtLeast(0) / decayMs)

    /** Adds the value [observed] with [weight]. */
    public fun add(observed: Double, weight: Double, nowMs: Long) {
        val current = valueAt(nowMs)
        value = current + weight * (observed - current)
        updatedAtMs = nowMs
    }

    /** Resets the average to the baseline. */
    public fun reset() {
        value = baseline
    }
}
