/*
 * All instances share one budget for sending requests a second time. Each takes its part: a ratio of the requests that
 * it received itself, and an equal part of the fixed allowance.
 */
package org.cardamomwharf.steering.limits

/**
 * Represents the terms of the shared budget.
 *
 * @param ratio repeats allowed for each request of the window.
 * @param allowance repeats allowed in each window besides, for all instances together.
 * @param usableShare part of the budget that is used, so that instances with different views stay within it together.
 */
public data class RetryBudgetParameters(
    public val ratio: Double,
    public val allowance: Int,
    public val windowMs: Long,
    public val usableShare: Double = 0.7,
)

/** Represents the part of one instance in the budget of one service. */
public class RetryBudget(private val parameters: RetryBudgetParameters) {
    private val requests = SlidingWindowCounter(parameters.windowMs)
    private val retries = SlidingWindowCounter(parameters.windowMs)

    /** Counts a request that arrived for the service. */
    public fun recordRequest(nowMs: Long) {
        requests.increment(nowMs)
    }

    /**
     * Takes one repeat and returns true, or returns false when none is left with [instances] sharing the budget; 0
     * means that they aren't known, and nothing is left then.
     */
    public fun tryAcquire(nowMs: Long, instances: Int): Boolean {
        val isAvailable = instances > 0 && retries.total(nowMs) + 1 <= quotaFor(instances, nowMs)
        if (isAvailable) retries.increment(nowMs)
        return isAvailable
    }

    private fun quotaFor(instances: Int, nowMs: Long): Double =
        parameters.usableShare *
            (parameters.ratio * requests.total(nowMs) + parameters.allowance.toDouble() / instances)
}
