/*
 * The load of one backend server: the requests that this instance sent, and those of others as far as answers told.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.steering.SteeringParameters
import kotlin.math.exp

/** Represents the load of one backend server. */
public class ServerLoad(private val parameters: SteeringParameters) {
    /** Requests of this instance that are on their way or running there. */
    public var inFlight: Int = 0
        private set

    /** Slots that the server reported, or null before a report. */
    public var reportedSlots: Int? = null
        private set
    private var report: LoadReport? = null
    private var reportAtMs = Long.MIN_VALUE
    private var inFlightAtReport = 0
    private var averageOtherLoad = 0.0
    private var awaitingSinceMs = Long.MAX_VALUE
    private var lastResponseAtMs = Long.MIN_VALUE

    /** Returns the requests that the server holds; the older the report, the more the usual load of others counts. */
    public fun estimate(nowMs: Long): Double {
        val known = report ?: return inFlight.toDouble()
        val otherLoad = (known.total - inFlightAtReport).coerceAtLeast(0)
        val freshness = exp(-(nowMs - reportAtMs) / parameters.reportDecayMs)
        return inFlight + averageOtherLoad + (otherLoad - averageOtherLoad) * freshness
    }

    /** Returns the time for which the server has owed this instance an answer; 0 when it owes none. */
    public fun unansweredForMs(nowMs: Long): Long =
        if (inFlight == 0) 0 else (nowMs - maxOf(awaitingSinceMs, lastResponseAtMs)).coerceAtLeast(0)

    /** Notes that a request goes to the server now. */
    public fun recordRequestSent(nowMs: Long) {
        if (inFlight == 0) awaitingSinceMs = nowMs
        inFlight++
    }

    /** Notes that a request ended there, however it did. */
    public fun recordRequestEnded() {
        inFlight = (inFlight - 1).coerceAtLeast(0)
    }

    /** Notes an answer of the server. */
    public fun recordResponse(nowMs: Long) {
        lastResponseAtMs = nowMs
    }

    /** Notes a load report. */
    public fun recordLoadReport(newReport: LoadReport, nowMs: Long) {
        report = newReport
        reportAtMs = nowMs
        inFlightAtReport = inFlight
        if (newReport.slots > 0) reportedSlots = newReport.slots
        val otherLoad = (newReport.total - inFlight).coerceAtLeast(0)
        averageOtherLoad += parameters.smoothingFactor * (otherLoad - averageOtherLoad)
    }

    /** Forgets what others do there, as for a new life of the server. */
    internal fun reset() {
        report = null
        reportedSlots = null
        averageOtherLoad = 0.0
    }
}
