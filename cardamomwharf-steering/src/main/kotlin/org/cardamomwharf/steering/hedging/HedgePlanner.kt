/*
 * Decides on hedges: second attempts of requests that may run more than once, while the first attempt is pending. A
 * hedge is sent only when the first attempt is late by the recent response times of its route, to a server with a free
 * slot in the region of the instance, while its service has room. Every limit on retries holds for it as well.
 */
package org.cardamomwharf.steering.hedging

import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.desired.TransferKind
import org.cardamomwharf.steering.placement.Warmth
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.FurtherAttempts
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RegionChoice
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.ServerRegistry

/** Share of responses that arrive before a pending attempt counts as late. */
private const val LATE_QUANTILE = 0.95

/** Share of occupied slots in the own region above which a service has no room for extra work. */
private const val MAX_SERVICE_LOAD_SHARE = 0.7

/** Decides on the hedges of one instance. */
public class HedgePlanner internal constructor(
    parameters: HedgingParameters,
    private val furtherAttempts: FurtherAttempts,
    private val servers: ServerRegistry,
) {
    private val isEnabled = parameters.maxShare > 0.0
    private val budget = HedgeBudget(parameters.maxShare)
    private val responseTimes = HashMap<ResponseKind, ResponseTimes>()

    /**
     * Returns the time after which the first attempt of [spec], sent as [send], counts as late, or null if it isn't
     * hedged. Large responses aren't hedged, because each attempt needs memory for one.
     */
    public fun delayMs(spec: RequestSpec, send: Placement.Send): Long? {
        val isPossible = isEnabled && spec.route.isIdempotent && spec.route.maxAttempts > 1 &&
            spec.route.transfer == TransferKind.SMALL
        return if (isPossible) responseTimes[kindOf(spec, send)]?.quantileMs(LATE_QUANTILE) else null
    }

    /** Returns where to send a hedge of [spec], whose [attempts] are pending, or null for none. */
    public fun place(spec: RequestSpec, attempts: List<Placement.Send>, nowMs: Long): Placement.Send? {
        if (!isEnabled || !budget.isAvailable(nowMs) || !hasRoom(spec, nowMs)) return null
        return furtherAttempts.planHedge(spec, attempts, nowMs) { isUsable(it, nowMs) }
            ?.also { budget.recordHedge(nowMs) }
    }

    internal fun recordOutcome(spec: RequestSpec, send: Placement.Send, report: AttemptReport, nowMs: Long) {
        if (!isEnabled) return
        budget.recordAttempt(nowMs)
        if (report.outcome in countedOutcomes) {
            responseTimes.getOrPut(kindOf(spec, send)) { ResponseTimes() }.record(report.tookMs)
        }
    }

    private fun kindOf(spec: RequestSpec, send: Placement.Send) = ResponseKind(spec.route.name, send.warmth)

    private fun isUsable(send: Placement.Send, nowMs: Long): Boolean {
        val server = servers.find(send.server)
        return send.choice == RegionChoice.HOME && server != null && server.load.estimate(nowMs) + 1 <= server.slots
    }

    private fun hasRoom(spec: RequestSpec, nowMs: Long): Boolean {
        val inRegion = servers.findByService(spec.service)
            .filter { it.distance != Distance.OTHER_REGION && servers.isEligible(it) }
        return inRegion.sumOf { it.load.estimate(nowMs) } <= MAX_SERVICE_LOAD_SHARE * inRegion.sumOf { it.slots }
    }

    /** Identifies requests whose response times are alike. */
    private data class ResponseKind(val route: String, val warmth: Warmth)

    private companion object {
        /** An attempt that was superseded or timed out took at least as long as it was pending. */
        val countedOutcomes = setOf(AttemptOutcome.ANSWERED, AttemptOutcome.SUPERSEDED, AttemptOutcome.TIMED_OUT)
    }
}
