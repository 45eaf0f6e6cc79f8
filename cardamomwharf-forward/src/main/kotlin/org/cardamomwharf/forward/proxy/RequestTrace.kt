/*
 * Traces of requests for logs and metrics, after their end and before it.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.requests.Placement

/**
 * Represents a completed request and its attempts.
 *
 * @param key affinity key of the request, or null.
 * @param outcome code of the final response.
 * @param status status of the final response; 0 if the caller disconnected before.
 * @param fingerprint hash of what the caller sent, the same when the request comes again; 0 if it isn't known.
 * @param aheadPosition number of unanswered requests before this one on its connection when it was started; 0 for one
 *   that was started in its turn.
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
    public val fingerprint: Long = 0,
    public val aheadPosition: Int = 0,
)

/**
 * Represents an attempt with the placement that chose its backend server.
 *
 * @param isHedge true if the attempt was sent while another one was pending.
 */
public data class AttemptTrace(
    public val placement: Placement.Send,
    public val outcome: String,
    public val detail: String,
    public val tookMs: Long,
    public val isHedge: Boolean = false,
)

/**
 * Represents a request without a final response.
 *
 * @param servers backend servers of its attempts.
 */
public data class RequestInFlight(
    public val requestId: String,
    public val service: ServiceName,
    public val servers: List<ServerName>,
    public val tookMs: Long,
    public val remainingMs: Long,
)

/** Receives the traces of completed requests; must not block. */
public fun interface TraceSink {
    /** Records the [trace] of a completed request. */
    public fun record(trace: RequestTrace)
}
