/*
 * The end of a process that is being stopped, as it limits which requests are still sent to backend servers.
 */
package org.cardamomwharf.steering.requests

/** Multiple of the predicted time that a request gets before the end of the process. */
private const val PREDICTION_MARGIN = 2.0

/**
 * Represents a planned stop.
 *
 * @param acceptUntilMs time until which callers may not have noticed the stop; later requests are sent only if their
 * deadline passes before the end, so that none is cut off.
 * @param endsAtMs time by which requests end; the process ends soon afterwards, even with requests under way.
 */
public data class StopPlan(public val acceptUntilMs: Long, public val endsAtMs: Long)

/** Returns true when the request may be sent now; without a plan every request may. */
internal fun StopPlan?.allows(spec: RequestSpec, send: Placement.Send, nowMs: Long): Boolean = this == null ||
    spec.deadlineAtMs <= endsAtMs ||
    (nowMs < acceptUntilMs && nowMs + send.predictedMs * PREDICTION_MARGIN <= endsAtMs)
