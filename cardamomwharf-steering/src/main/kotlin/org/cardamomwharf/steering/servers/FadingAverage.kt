/*
 * A moving average that returns to its usual value while nothing is observed, so that a backend server that is left
 * alone for what it did gets another chance.
 */
package org.cardamomwharf.steering.servers

import kotlin.math.exp

/**
 * Represents the average.
 *
 * @param fadeMs time in which about two thirds of the difference from [usual] fade.
 */
public class FadingAverage(private val usual: Double, private val fadeMs: Double) {
    private var value = usual
    private var notedAtMs = 0L

    /** Returns the average at [nowMs]. */
    public fun valueAt(
        nowMs: Long
    ): Double = usual + (value - usual) * exp(-(nowMs - notedAtMs).coerceAtLeast(0) / fadeMs)

    /** Notes [observed] with [weight]. */
    public fun note(observed: Double, weight: Double, nowMs: Long) {
        val current = valueAt(nowMs)
        value = current + weight * (observed - current)
        notedAtMs = nowMs
    }

    /** Returns to the usual value. */
    public fun reset() {
        value = usual
    }
}
