/*
 * Retry budget shared by all instances. Each instance uses its own quota: a ratio of the requests that it received, and
 * an equal part of the fixed allowance.
 */
package org.cardamomwharf.steering.limits

/**
 * Represents the shared retry budget.
 *
 * @param ratio retries allowed per request of the window.
 * @param allowance additional retries allowed per window, for all instances together.
 * @param usableShare share of the budget that is used, so that instances with different views of the fleet together
 * stay within it.
 */
public data class RetryBudgetParameters(
    public val ratio: Double,
    public val allowance: Int,
    public val windowMs: Long,
    public val usableShare: Double = 0.7,
)

/** Represents the quota of this instance in the retry budget of one service. */
public class RetryBudget(private val parameters: RetryBudgetParameters) {
    private val requests = SlidingWindowCounter(parameters.windowMs)
    private val retries = SlidingWindowCounter(parameters.windowMs)

    /** Records a request received for the service. */
    public fun recordRequest(nowMs: Long) {
        requests.increment(nowMs)
    }

    /**
     * Acquires one retry and returns true, or returns false when the quota is used up. The allowance is divided among
     * [instances]; with 0, the instances are unknown and no retry is allowed.
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
