/*
 * Limits hedges to a share of all attempts of this instance, as the operators set it. Each instance keeps to the share
 * on its own, so their sum does too.
 */
package org.cardamomwharf.steering.hedging

import org.cardamomwharf.steering.limits.SlidingWindowCounter

/** Window in which hedges are compared with all attempts; as long as the window of the retry budget. */
private const val WINDOW_MS = 10_000L

internal class HedgeBudget(private val maxShare: Double) {
    private val attempts = SlidingWindowCounter(WINDOW_MS)
    private val hedges = SlidingWindowCounter(WINDOW_MS)

    /** Records an attempt that has ended, which may be a hedge. */
    fun recordAttempt(nowMs: Long) = attempts.increment(nowMs)

    /** Records a hedge, besides the attempt that it is. */
    fun recordHedge(nowMs: Long) = hedges.increment(nowMs)

    /** Returns true when one more hedge stays within the share. */
    fun isAvailable(nowMs: Long): Boolean = hedges.total(nowMs) + 1 <= maxShare * (attempts.total(nowMs) + 1)
}
