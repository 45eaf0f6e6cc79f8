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
        inFlightAtReport = inFlight
        if (newReport.slots > 0) reportedSlots = newReport.slots
        val otherLoad = (newReport.total - inFlight).coerceAtLeast(0)
        averageOtherLoad += parameters.smoothingFactor * (otherLoad - averageOtherLoad)
    }

    /** Discards the load by other instances after a restart of the server. */
    internal fun reset() {
        report = null
        reportedSlots = null
        averageOtherLoad = 0.0
    }
}
