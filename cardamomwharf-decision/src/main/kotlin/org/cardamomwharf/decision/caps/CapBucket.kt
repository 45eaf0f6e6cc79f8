/*
 * A token bucket in whole thousandths of a unit, so that replays give the same numbers on every machine. Over any
 * window of w seconds it lets through at most rate * w plus one burst.
 */
package org.cardamomwharf.decision.caps

private const val MILLI = 1_000L

/**
 * Represents the tokens of one cap share.
 *
 * @param milliTokens tokens in thousandths.
 */
public data class CapBucket(
    public val ratePerSecond: Long,
    public val burst: Long,
    public val milliTokens: Long,
    public val updatedAtMs: Long,
) {
    /** The whole tokens that may be spent. */
    public val available: Long get() = milliTokens / MILLI
}

/** Returns an empty bucket; what was unused before never counts. */
public fun newCapBucket(ratePerSecond: Long, burst: Long, nowMs: Long): CapBucket =
    CapBucket(ratePerSecond, burst, milliTokens = 0, updatedAtMs = nowMs)

/** Returns this bucket with the tokens earned until [nowMs]. */
public fun CapBucket.refill(nowMs: Long): CapBucket {
    val elapsedMs = (nowMs - updatedAtMs).coerceIn(0, MILLI)
    val earned = milliTokens + ratePerSecond * elapsedMs
    return copy(milliTokens = earned.coerceAtMost(burst * MILLI), updatedAtMs = maxOf(nowMs, updatedAtMs))
}

/** Returns this bucket after spending [amount], or null when that many tokens aren't there. */
public fun CapBucket.consume(amount: Long): CapBucket? =
    if (available < amount) null else copy(milliTokens = milliTokens - amount * MILLI)

/** Returns this bucket with another rate and burst; tokens above the new burst are lost. */
public fun CapBucket.withRate(rate: Long, newBurst: Long, nowMs: Long): CapBucket {
    val filled = refill(nowMs)
    return filled.copy(
        ratePerSecond = rate,
        burst = newBurst,
        milliTokens = filled.milliTokens.coerceAtMost(newBurst * MILLI),
    )
}
