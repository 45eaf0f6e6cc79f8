/*
 * Token bucket that counts in thousandths of a unit, so that replays give the same numbers on every machine. Over any
 * window of w seconds it permits at most rate * w plus one burst.
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
    /** The whole tokens that can be consumed. */
    public val available: Long get() = milliTokens / MILLI
}

/** Returns an empty bucket; it starts without any credit for the time before. */
public fun newCapBucket(ratePerSecond: Long, burst: Long, nowMs: Long): CapBucket =
    CapBucket(ratePerSecond, burst, milliTokens = 0, updatedAtMs = nowMs)

/** Returns this bucket with the tokens added up to [nowMs]. */
public fun CapBucket.refill(nowMs: Long): CapBucket {
    val elapsedMs = (nowMs - updatedAtMs).coerceIn(0, MILLI)
    val refilled = milliTokens + ratePerSecond * elapsedMs
    return copy(milliTokens = refilled.coerceAtMost(burst * MILLI), updatedAtMs = maxOf(nowMs, updatedAtMs))
}

/** Returns this bucket less [amount] tokens, or null when it has fewer. */
public fun CapBucket.consume(amount: Long): CapBucket? =
    if (available < amount) null else copy(milliTokens = milliTokens - amount * MILLI)

/** Returns this bucket with another rate and burst; tokens above the new burst are discarded. */
public fun CapBucket.withRate(rate: Long, newBurst: Long, nowMs: Long): CapBucket {
    val refilled = refill(nowMs)
    return refilled.copy(
        ratePerSecond = rate,
        burst = newBurst,
        milliTokens = refilled.milliTokens.coerceAtMost(newBurst * MILLI),
    )
}
