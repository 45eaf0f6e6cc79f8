/*
 * The load of one backend server: the requests that this instance sent, and those of others as far as answers told.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.steering.SteeringParameters
import kotlin.math.exp

/** Represents the load of one backend server. */
public class ServerLoad(private val terms: SteeringParameters) {
    /** Requests of this instance that are on their way or running there. */
    public var inFlight: Int = 0
        private set

    /** Slots that the server reported, or null before a report. */
    public var reportedSlots: Int? = null
        private set
    private var report: LoadReport? = null
    private var reportAtMs = Long.MIN_VALUE
    private var ownAtReport = 0
    private var usualOfOthers = 0.0
    private var waitingSinceMs = Long.MAX_VALUE
    private var lastAnswerAtMs = Long.MIN_VALUE

    /** Returns the requests that the server holds; the older the report, the more the usual load of others counts. */
    public fun estimate(nowMs: Long): Double {
        val known = report ?: return inFlight.toDouble()
        val ofOthers = (known.total - ownAtReport).coerceAtLeast(0)
        val fresh = exp(-(nowMs - reportAtMs) / terms.reportAgeMs)
        return inFlight + usualOfOthers + (ofOthers - usualOfOthers) * fresh
    }

    /** Returns the time for which the server has owed this instance an answer; 0 when it owes none. */
    public fun silentForMs(nowMs: Long): Long =
        if (inFlight == 0) 0 else (nowMs - maxOf(waitingSinceMs, lastAnswerAtMs)).coerceAtLeast(0)

    /** Notes that a request goes to the server now. */
    public fun noteSent(nowMs: Long) {
        if (inFlight == 0) waitingSinceMs = nowMs
        inFlight++
    }

    /** Notes that a request ended there, however it did. */
    public fun noteEnded() {
        inFlight = (inFlight - 1).coerceAtLeast(0)
    }

    /** Notes an answer of the server. */
    public fun noteAnswer(nowMs: Long) {
        lastAnswerAtMs = nowMs
    }

    /** Notes a load report. */
    public fun recordLoadReport(next: LoadReport, nowMs: Long) {
        report = next
        reportAtMs = nowMs
        ownAtReport = inFlight
        if (next.slots > 0) reportedSlots = next.slots
        val ofOthers = (next.total - inFlight).coerceAtLeast(0)
        usualOfOthers += terms.smoothing * (ofOthers - usualOfOthers)
    }

    /** Forgets what others do there, as for a new life of the server. */
    internal fun restart() {
        report = null
        reportedSlots = null
        usualOfOthers = 0.0
    }
}
