/*
 * What this instance believes of one backend server: its record, its load as far as answers told it, how fast it is, and
 * whether it can be trusted with requests.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringTerms
import org.cardamomwharf.steering.limits.ColdAllowance
import kotlin.math.exp

/** Represents the belief about one life of a backend server. */
public class KnownServer(
    record: ServerRecord,
    /** How far the server is from this instance. */
    public val distance: Distance,
    /** The region of the server, or null when its zone isn't listed. */
    public val region: RegionName?,
    private val terms: SteeringTerms,
) {
    /** What the store says of the server. */
    public var record: ServerRecord = record
        internal set

    /** Requests of this instance that are on their way or running there. */
    public var inFlight: Int = 0
        private set

    /** Time until which the server is cold. */
    public var coldUntilMs: Long = Long.MIN_VALUE
        internal set

    /** Time until which the server gets no requests because it failed. */
    public var avoidedUntilMs: Long = Long.MIN_VALUE
        private set

    /** Keys that the server is believed to have handled recently. */
    public val warmKeys: WarmKeys = WarmKeys()

    internal val coldAllowance = ColdAllowance()
    private val failures = FadingAverage(0.0, terms.failureFadeMs)
    private val speed = FadingAverage(1.0, terms.slownessFadeMs)
    private var report: LoadReport? = null
    private var usualOfOthers = 0.0
    private var reportAtMs = Long.MIN_VALUE
    private var ownAtReport = 0
    private var failuresInRow = 0
    private var lastAnswerAtMs = Long.MIN_VALUE
    private var waitingSinceMs = Long.MAX_VALUE
    private var reportedSlots: Int? = null

    /** True for a server that joined others at work, until this instance has sent it a request. */
    public var isUnproven: Boolean = false
        internal set

    /** True when this instance has sent the server a request. */
    public var isUsed: Boolean = false
        private set

    /** Slots of the server, at least one. */
    public val slots: Int get() = (reportedSlots ?: record.slots).coerceAtLeast(1)

    /** Returns the requests that the server holds, estimated from the latest report and the requests sent since. */
    public fun estimateLoad(nowMs: Long): Double {
        val known = report ?: return inFlight.toDouble()
        val ofOthers = (known.total - ownAtReport).coerceAtLeast(0)
        val fresh = exp(-(nowMs - reportAtMs) / terms.reportAgeMs)
        return inFlight + usualOfOthers + (ofOthers - usualOfOthers) * fresh
    }

    /** Returns the share of recent requests that the server failed, refused or left unanswered. */
    public fun failureShare(nowMs: Long): Double = failures.valueAt(nowMs)

    /** Returns the time that requests take there, as a multiple of the usual time. */
    public fun slowness(nowMs: Long): Double = speed.valueAt(nowMs)

    /** Returns true when the server may get a request for what it did before. */
    public fun isTrusted(nowMs: Long): Boolean = nowMs >= avoidedUntilMs && (failuresInRow == 0 || inFlight == 0)

    /** Returns true when the server is cold. */
    public fun isCold(nowMs: Long): Boolean = nowMs < coldUntilMs

    /** Returns the time for which the server has owed this instance an answer without giving any; 0 when it owes none. */
    public fun silentForMs(nowMs: Long): Long =
        if (inFlight == 0) 0 else (nowMs - maxOf(waitingSinceMs, lastAnswerAtMs)).coerceAtLeast(0)

    /** Notes that a request goes to the server now. */
    public fun noteSent(nowMs: Long) {
        if (inFlight == 0) waitingSinceMs = nowMs
        inFlight++
        isUnproven = false
        isUsed = true
    }

    /** Notes that a request ended there, however it did. */
    public fun noteEnded() {
        inFlight = (inFlight - 1).coerceAtLeast(0)
    }

    /** Notes a load report. */
    public fun noteReport(next: LoadReport, nowMs: Long) {
        report = next
        reportAtMs = nowMs
        ownAtReport = inFlight
        if (next.slots > 0) reportedSlots = next.slots
        val ofOthers = (next.total - inFlight).coerceAtLeast(0)
        usualOfOthers += terms.smoothing * (ofOthers - usualOfOthers)
    }

    /** Notes an answer of the server, good or bad. */
    public fun noteAnswer(isGood: Boolean, nowMs: Long) {
        lastAnswerAtMs = nowMs
        if (isGood) failuresInRow = 0
        failures.note(if (isGood) 0.0 else 1.0, terms.smoothing, nowMs)
    }

    /** Notes that the server left a request unanswered until its time was over. */
    public fun noteTimeout(nowMs: Long) {
        failures.note(1.0, terms.smoothing, nowMs)
    }

    /** Notes that a request took [factor] times the usual time. */
    public fun noteSpeed(factor: Double, nowMs: Long) {
        speed.note(factor.coerceIn(LEAST_SLOWNESS, LARGEST_SLOWNESS), terms.smoothing, nowMs)
    }

    /** Notes that the server could not be reached or broke a connection off. */
    public fun noteFailure(nowMs: Long) {
        failuresInRow++
        failures.note(1.0, terms.smoothing, nowMs)
        val doublings = (failuresInRow - 1).coerceAtMost(LARGEST_DOUBLINGS)
        avoidedUntilMs = nowMs + (terms.firstAvoidMs shl doublings).coerceAtMost(terms.longestAvoidMs)
    }

    /** Starts the belief anew, as for a new life of the server. */
    internal fun restart() {
        warmKeys.clear()
        report = null
        reportedSlots = null
        failuresInRow = 0
        failures.reset()
        speed.reset()
        usualOfOthers = 0.0
        avoidedUntilMs = Long.MIN_VALUE
    }

    private companion object {
        const val LEAST_SLOWNESS = 0.5
        const val LARGEST_SLOWNESS = 20.0
        const val LARGEST_DOUBLINGS = 4
    }
}
