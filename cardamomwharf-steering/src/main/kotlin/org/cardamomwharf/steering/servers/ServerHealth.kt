/*
 * Whether a backend server can be trusted with requests, judged by what happened to the latest ones.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.steering.SteeringParameters

/** Represents the trust in one backend server. */
public class ServerHealth(private val parameters: SteeringParameters) {
    private val failureAverage = DecayingAverage(0.0, parameters.failureDecayMs)
    private val slownessAverage = DecayingAverage(1.0, parameters.slownessDecayMs)
    private var consecutiveFailures = 0
    private var ejectedUntilMs = Long.MIN_VALUE

    /** Returns true when the server may get a request; after failures one request at a time tries it. */
    public fun isAvailable(inFlight: Int, nowMs: Long): Boolean =
        nowMs >= ejectedUntilMs && (consecutiveFailures == 0 || inFlight == 0)

    /** Returns the share of recent requests that the server failed, refused or left unanswered. */
    public fun failureRate(nowMs: Long): Double = failureAverage.valueAt(nowMs)

    /** Returns the time that requests take there, as a multiple of the usual time. */
    public fun slowness(nowMs: Long): Double = slownessAverage.valueAt(nowMs)

    /** Notes an answer of the server, good or bad. */
    public fun recordResponse(isSuccess: Boolean, nowMs: Long) {
        if (isSuccess) consecutiveFailures = 0
        failureAverage.add(if (isSuccess) 0.0 else 1.0, parameters.smoothingFactor, nowMs)
    }

    /** Notes that the server left a request unanswered until its time was over. */
    public fun recordTimeout(nowMs: Long) {
        failureAverage.add(1.0, parameters.smoothingFactor, nowMs)
    }

    /** Notes that a request took [factor] times the usual time. */
    public fun recordSlowness(factor: Double, nowMs: Long) {
        slownessAverage.add(factor.coerceIn(MIN_SLOWNESS, MAX_SLOWNESS), parameters.smoothingFactor, nowMs)
    }

    /** Notes that the server could not be reached or broke a connection off. */
    public fun recordFailure(nowMs: Long) {
        consecutiveFailures++
        failureAverage.add(1.0, parameters.smoothingFactor, nowMs)
        val doublings = (consecutiveFailures - 1).coerceAtMost(MAX_DOUBLINGS)
        ejectedUntilMs = nowMs + (parameters.initialEjectionMs shl doublings).coerceAtMost(parameters.maxEjectionMs)
    }

    /** Forgets everything, as for a new life of the server. */
    internal fun reset() {
        consecutiveFailures = 0
        ejectedUntilMs = Long.MIN_VALUE
        failureAverage.reset()
        slownessAverage.reset()
    }

    private companion object {
        const val MIN_SLOWNESS = 0.5
        const val MAX_SLOWNESS = 20.0
        const val MAX_DOUBLINGS = 4
    }
}
