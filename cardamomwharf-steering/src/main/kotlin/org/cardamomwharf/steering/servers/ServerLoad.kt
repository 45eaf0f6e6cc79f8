/*
 * Estimated load of one backend server: the requests of this instance, and those of other instances according to load
 * reports.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.steering.SteeringParameters
import kotlin.math.exp

/** Tracks the load of one backend server. */
public class ServerLoad(private val parameters: SteeringParameters) {
    /** Requests of this instance that are in transit to the server or running on it. */
    public var inFlight: Int = 0
        private set

    /** Slots reported by the server, or null before the first report. */
    public var reportedSlots: Int? = null
        private set
    private var report: LoadReport? = null
    private var reportAtMs = Long.MIN_VALUE
    private var inFlightAtReport = 0
    private var averageOtherLoad = 0.0
    private var awaitingSinceMs = Long.MAX_VALUE
    private var lastResponseAtMs = Long.MIN_VALUE
    private var slowReport: LoadReport? = null
    private var slowReportAtMs = Long.MIN_VALUE

    /**
     * Returns the estimated number of requests on the server. The older the latest report, the more the average load by
     * other instances counts instead.
     */
    public fun estimate(nowMs: Long): Double {
        val latest = report ?: return inFlight.toDouble()
        val otherLoad = (latest.total - inFlightAtReport).coerceAtLeast(0)
        val freshness = exp(-(nowMs - reportAtMs) / parameters.reportDecayMs)
        return inFlight + averageOtherLoad + (otherLoad - averageOtherLoad) * freshness
    }

    /**
     * Returns the processing time as a multiple of the usual one, as far as other work on the server's machine explains
     * it, or 1 if the server doesn't report it. The older the latest report, the less it counts.
     */
    public fun slowdown(nowMs: Long): Double {
        val reported = report?.slowdown ?: return 1.0
        val freshness = exp(-(nowMs - reportAtMs).coerceAtLeast(0) / parameters.slowdownDecayMs)
        return 1.0 + (reported - 1.0) * freshness
    }

    /**
     * Returns the largest multiple of the usual processing time by which other work on the server's machine may have
     * delayed a request that was sent at [sentAtMs] and has ended.
     */
    public fun slowdownSince(sentAtMs: Long): Double {
        val isPossible = slowReportAtMs >= sentAtMs - parameters.slowdownDecayMs.toLong()
        return slowReport?.slowdown?.takeIf { isPossible } ?: 1.0
    }

    /**
     * Returns the time for which this instance has been waiting for a response of the server, or 0 without pending
     * requests.
     */
    public fun unansweredForMs(nowMs: Long): Long =
        if (inFlight == 0) 0 else (nowMs - maxOf(awaitingSinceMs, lastResponseAtMs)).coerceAtLeast(0)

    /** Records that a request is sent to the server now. */
    public fun recordRequestSent(nowMs: Long) {
        if (inFlight == 0) awaitingSinceMs = nowMs
        inFlight++
    }

    /** Records that a request has ended, with any outcome. */
    public fun recordRequestEnded() {
        inFlight = (inFlight - 1).coerceAtLeast(0)
    }

    /** Records a response of the server. */
    public fun recordResponse(nowMs: Long) {
        lastResponseAtMs = nowMs
    }

    /** Records a load report of the server. */
    public fun recordLoadReport(newReport: LoadReport, nowMs: Long) {
        report = newReport
        reportAtMs = nowMs
        recordSlowdown(newReport, nowMs)
        inFlightAtReport = inFlight
        if (newReport.slots > 0) reportedSlots = newReport.slots
        val otherLoad = (newReport.total - inFlight).coerceAtLeast(0)
        averageOtherLoad += parameters.smoothingFactor * (otherLoad - averageOtherLoad)
    }

    private fun recordSlowdown(newReport: LoadReport, nowMs: Long) {
        val slowdown = newReport.slowdown ?: return
        val isLargest = slowdown >= slowdownSince(nowMs)
        if (slowdown > 1.0 && isLargest) {
            slowReport = newReport
            slowReportAtMs = nowMs
        }
    }

    /** Discards the load by other instances after a restart of the server. */
    internal fun reset() {
        report = null
        slowReport = null
        slowReportAtMs = Long.MIN_VALUE
        reportedSlots = null
        averageOtherLoad = 0.0
    }
}
