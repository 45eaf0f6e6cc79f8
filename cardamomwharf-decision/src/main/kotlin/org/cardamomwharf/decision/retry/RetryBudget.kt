/*
 * Limits retries to a fraction of the requests. Under overload nearly every try fails, the budget dries up, and the
 * retries stop before they become a load of their own.
 */
package org.cardamomwharf.decision.retry

private const val CREDITS_PER_RETRY = 100
private const val LARGEST_RETRIES = 20

/** Represents the retries that may still be made, in hundredths. */
public data class RetryBudget(public val credits: Int = CREDITS_PER_RETRY * LARGEST_RETRIES) {
    /** True while a retry is allowed. */
    public val isRetryAllowed: Boolean get() = credits >= CREDITS_PER_RETRY
}

/** Returns this budget after a first try; each earns [percent] hundredths of a retry. */
public fun RetryBudget.recordFirstAttempt(percent: Int): RetryBudget =
    RetryBudget((credits + percent).coerceAtMost(CREDITS_PER_RETRY * LARGEST_RETRIES))

/** Returns this budget after a retry. */
public fun RetryBudget.recordRetry(): RetryBudget = RetryBudget((credits - CREDITS_PER_RETRY).coerceAtLeast(0))
