/*
 * Implements a circuit breaker for the table service, so that requests are refused at once during an outage instead of
 * each waiting for its own timeout. After a pause one request at a time probes the service.
 */
package org.cardamomwharf.decision.claims

private const val FAILURES_TO_OPEN = 3
private const val PAUSE_MS = 1_000L

/** Represents the consecutive failures of the table service, and until when calls to it are blocked. */
public data class StoreHealth(public val failures: Int = 0, public val blockedUntilMs: Long = 0) {
    /** Returns true when calls are blocked. */
    public fun isDown(nowMs: Long): Boolean = failures >= FAILURES_TO_OPEN && nowMs < blockedUntilMs

    /** Returns the time until the next call is allowed, at least the pause between two probes. */
    public fun retryAfterMs(nowMs: Long): Long = (blockedUntilMs - nowMs).coerceAtLeast(PAUSE_MS)
}

/** Returns the health after a reply. */
public fun StoreHealth.recordSuccess(): StoreHealth = StoreHealth()

/** Returns the health after a call whose reply was lost or that did not reach the service. */
public fun StoreHealth.recordFailure(nowMs: Long): StoreHealth = StoreHealth(failures + 1, nowMs + PAUSE_MS)

/** Returns the health after a probe was allowed while the service counts as down; other calls stay blocked. */
public fun StoreHealth.startProbe(nowMs: Long): StoreHealth =
    if (failures >= FAILURES_TO_OPEN) copy(blockedUntilMs = nowMs + PAUSE_MS) else this
