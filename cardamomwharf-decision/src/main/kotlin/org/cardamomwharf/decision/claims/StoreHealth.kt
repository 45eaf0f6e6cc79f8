/*
 * Remembers whether the table service answers, so that requests are refused at once during an outage instead of each
 * waiting for its own time limit. One request at a time probes it after a pause.
 */
package org.cardamomwharf.decision.claims

private const val FAILURES_TO_OPEN = 3
private const val PAUSE_MS = 1_000L

/** Represents the recent answers of the table service. */
public data class StoreHealth(public val failures: Int = 0, public val blockedUntilMs: Long = 0) {
    /** Returns true when no call may be made. */
    public fun isDown(nowMs: Long): Boolean = failures >= FAILURES_TO_OPEN && nowMs < blockedUntilMs

    /** Returns the time until the next call may be made. */
    public fun retryAfterMs(nowMs: Long): Long = (blockedUntilMs - nowMs).coerceAtLeast(PAUSE_MS)
}

/** Returns the health after an answer. */
public fun StoreHealth.recordSuccess(): StoreHealth = StoreHealth()

/** Returns the health after a lost or refused call. */
public fun StoreHealth.recordFailure(nowMs: Long): StoreHealth = StoreHealth(failures + 1, nowMs + PAUSE_MS)

/** Returns the health after a call was allowed while the service counts as down; others wait for its answer. */
public fun StoreHealth.startProbe(nowMs: Long): StoreHealth =
    if (failures >= FAILURES_TO_OPEN) copy(blockedUntilMs = nowMs + PAUSE_MS) else this
