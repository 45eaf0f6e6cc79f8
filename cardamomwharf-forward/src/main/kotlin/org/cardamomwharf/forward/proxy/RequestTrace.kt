/*
 * What happened to a request, for logs and metrics.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.steering.requests.Placement

/**
 * Represents the course of a request that has ended.
 *
 * @param key the object that the request is about, or null.
 * @param outcome code of what the caller was told.
 * @param status status that the caller got; 0 when it left before.
 */
public data class RequestTrace(
    public val requestId: String,
    public val route: String,
    public val service: String,
    public val key: String?,
    public val desiredVersion: Long,
    public val outcome: String,
    public val status: Int,
    public val tookMs: Long,
    public val remainingMs: Long,
    public val attempts: List<AttemptTrace>,
)

/** Represents one try with what decided it. */
public data class AttemptTrace(
    public val placement: Placement.Send,
    public val outcome: String,
    public val detail: String,
    public val tookMs: Long,
)

/** Takes the traces of requests; never blocks. */
public fun interface TraceSink {
    /** Takes the [trace] of a request that has ended. */
    public fun record(trace: RequestTrace)
}
