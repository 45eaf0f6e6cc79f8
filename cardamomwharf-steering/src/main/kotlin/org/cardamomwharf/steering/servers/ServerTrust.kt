/*
 * Whether a backend server can be trusted with requests, judged by what happened to the latest ones.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.steering.SteeringParameters

/** Represents the trust in one backend server. */
public class ServerTrust(private val terms: SteeringParameters) {
    private val failures = FadingAverage(0.0, terms.failureFadeMs)
    private val speed = FadingAverage(1.0, terms.slownessFadeMs)
    private var failuresInRow = 0
    private var avoidedUntilMs = Long.MIN_VALUE

    /** Returns true when the server may get a request; after failures one request at a time tries it. */
    public fun isOpen(inFlight: Int, nowMs: Long): Boolean =
        nowMs >= avoidedUntilMs && (failuresInRow == 0 || inFlight == 0)

    /** Returns the share of recent requests that the server failed, refused or left unanswered. */
    public fun failureShare(nowMs: Long): Double = failures.valueAt(nowMs)

    /** Returns the time that requests take there, as a multiple of the usual time. */
    public fun slowness(nowMs: Long): Double = speed.valueAt(nowMs)

    /** Notes an answer of the server, good or bad. */
    public fun noteAnswer(isGood: Boolean, nowMs: Long) {
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

    /** Forgets everything, as for a new life of the server. */
    internal fun restart() {
        failuresInRow = 0
        avoidedUntilMs = Long.MIN_VALUE
        failures.reset()
        speed.reset()
    }

    private companion object {
        const val LEAST_SLOWNESS = 0.5
        const val LARGEST_SLOWNESS = 20.0
        const val LARGEST_DOUBLINGS = 4
    }
}
