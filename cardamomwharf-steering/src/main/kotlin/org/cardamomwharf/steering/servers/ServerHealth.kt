/*
 * Health of a backend server, derived from the outcomes of recent requests. A server that fails is ejected for a time
 * that doubles with each consecutive failure.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.steering.SteeringParameters

/** Tracks the health of one backend server. */
public class ServerHealth(private val parameters: SteeringParameters) {
    private val failureAverage = DecayingAverage(0.0, parameters.failureDecayMs)
    private val slownessAverage = DecayingAverage(1.0, parameters.slownessDecayMs)
    private var consecutiveFailures = 0
    private var ejectedUntilMs = Long.MIN_VALUE

    /**
     * Returns true when the server may receive a request. After an ejection, only one request at a time is allowed
     * until one succeeds.
     */
    public fun isAvailable(inFlight: Int, nowMs: Long): Boolean =
        nowMs >= ejectedUntilMs && (consecutiveFailures == 0 || inFlight == 0)

    /** Returns the share of recent requests that the server failed, refused or left unanswered. */
    public fun failureRate(nowMs: Long): Double = failureAverage.valueAt(nowMs)

    /** Returns the processing time on the server as a multiple of the expected time. */
    public fun slowness(nowMs: Long): Double = slownessAverage.valueAt(nowMs)

    /** Records a response of the server. */
    public fun recordResponse(isSuccess: Boolean, nowMs: Long) {
        if (isSuccess) consecutiveFailures = 0
        failureAverage.add(if (isSuccess) 0.0 else 1.0, parameters.smoothingFactor, nowMs)
    }

    /** Records a request that timed out on the server. */
    public fun recordTimeout(nowMs: Long) {
        failureAverage.add(1.0, parameters.smoothingFactor, nowMs)
    }

    /** Records that a request took [factor] times the expected time. */
    public fun recordSlowness(factor: Double, nowMs: Long) {
        slownessAverage.add(factor.coerceIn(MIN_SLOWNESS, MAX_SLOWNESS), parameters.smoothingFactor, nowMs)
    }

    /** Records that the server was unreachable or closed a connection early, and ejects it. */
    public fun recordFailure(nowMs: Long) {
        consecutiveFailures++
        failureAverage.add(1.0, parameters.smoothingFactor, nowMs)
        val doublings = (consecutiveFailures - 1).coerceAtMost(MAX_DOUBLINGS)
        ejectedUntilMs = nowMs + (parameters.initialEjectionMs shl doublings).coerceAtMost(parameters.maxEjectionMs)
    }

    /** Resets the health after a restart of the server. */
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
