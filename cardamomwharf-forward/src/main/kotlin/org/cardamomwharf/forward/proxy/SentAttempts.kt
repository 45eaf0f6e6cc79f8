/*
 * The attempts of one request, pending and ended. Access is synchronized by the forwarder of the request.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.forward.server.CallResult
import org.cardamomwharf.forward.server.ServerCall
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement

/**
 * Represents an attempt.
 *
 * @param hedgeRoom memory for the response to a hedge, or null for an attempt that is none.
 */
internal class SentAttempt(val placement: Placement.Send, val hedgeRoom: HedgeRoom?, val sentAtMs: Long) {
    /** The call to the server, or null if the request couldn't be written. */
    var call: ServerCall? = null
    var isPending: Boolean = true
        internal set
}

internal class SentAttempts {
    private val attempts = ArrayList<SentAttempt>()

    /** Traces of the attempts that have ended, in the order of their ends. */
    val traces = ArrayList<AttemptTrace>()

    /** True when an attempt may have executed the request. */
    var mayHaveExecuted = false
        private set

    /** Placements of all attempts, in the order in which they were sent. */
    val placements: List<Placement.Send> get() = attempts.map { it.placement }

    /** Attempts without an outcome. */
    val pending: List<SentAttempt> get() = attempts.filter { it.isPending }

    /** True when an attempt has no outcome yet. */
    val hasPending: Boolean get() = attempts.any { it.isPending }

    /** True when the only attempt so far has no outcome yet. */
    val isFirstPending: Boolean get() = attempts.singleOrNull()?.isPending == true

    fun add(placement: Placement.Send, hedgeRoom: HedgeRoom?, nowMs: Long): SentAttempt =
        SentAttempt(placement, hedgeRoom, nowMs).also { attempts.add(it) }

    /** Ends [attempt] with the [result] of its call. */
    fun end(attempt: SentAttempt, result: CallResult, nowMs: Long): AttemptReport {
        if (result is CallResult.Completed) attempt.hedgeRoom?.pass(result.response.body.size.toLong())
        return end(attempt, toAttemptOutcome(result), describe(result), nowMs, isBrokenOff(result))
    }

    /** Ends [attempt] and returns its report, which tells whether another one may have executed the request. */
    fun end(
        attempt: SentAttempt,
        outcome: AttemptOutcome,
        detail: String,
        nowMs: Long,
        isBrokenOff: Boolean = false,
    ): AttemptReport {
        attempt.isPending = false
        attempt.hedgeRoom?.reservation?.release()
        val tookMs = nowMs - attempt.sentAtMs
        traces.add(AttemptTrace(attempt.placement, outcome.code, detail, tookMs, isHedge = attempt.hedgeRoom != null))
        val report = AttemptReport(outcome, mayHaveExecuted, tookMs, isBrokenOff)
        mayHaveExecuted = mayHaveExecuted || !outcome.isNotExecuted
        return report
    }
}
