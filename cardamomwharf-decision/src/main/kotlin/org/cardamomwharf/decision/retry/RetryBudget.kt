/*
 * Limits retries to a fraction of the requests. Under overload nearly every attempt fails; the budget is then used up,
 * and retries stop before they add to the load.
 */
package org.cardamomwharf.decision.retry

private const val CREDITS_PER_RETRY = 100
private const val MAX_RETRIES = 20

/** Represents the retries that are still allowed, in hundredths of a retry. */
public data class RetryBudget(public val credits: Int = CREDITS_PER_RETRY * MAX_RETRIES) {
    /** True while at least one retry is allowed. */
    public val isRetryAllowed: Boolean get() = credits >= CREDITS_PER_RETRY
}

/** Records a first attempt, which adds [percent] hundredths of a retry. */
public fun RetryBudget.recordFirstAttempt(percent: Int): RetryBudget =
    RetryBudget((credits + percent).coerceAtMost(CREDITS_PER_RETRY * MAX_RETRIES))

/** Records a retry. */
public fun RetryBudget.recordRetry(): RetryBudget = RetryBudget((credits - CREDITS_PER_RETRY).coerceAtLeast(0))
