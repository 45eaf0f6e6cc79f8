/*
 * Selects the backend server of a request by predicted completion time. All instances of a region rank its servers in
 * the same order for a key, so that requests for the key reach the same server. A request that would be late on every
 * server is refused immediately.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.limits.AnnouncedLimits
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RegionChoice
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer

internal class ServerSelector(
    private val parameters: SteeringParameters,
    private val candidates: CandidateServers,
    private val spillover: RegionSpillover,
    private val announcedLimits: AnnouncedLimits,
    roundTripTimes: RoundTripTimes,
) {
    private val estimates = RouteEstimates(parameters, roundTripTimes)
    private val queueAllowance = QueueAllowance(parameters)
    private val scorer = ServerScorer(parameters, roundTripTimes)

    fun select(spec: RequestSpec, excluded: Set<ServerName>, nowMs: Long): Placement {
        val estimate = estimates.getForRoute(spec.route)
        val usable = candidates.findUsable(spec, excluded, estimate, nowMs)
        val withinLimit = usable.filter { announcedLimits.isWithinLimit(it, nowMs) }
        val ready = withinLimit.filter { candidates.isWithinColdRate(it, nowMs) }
        return when {
            usable.isEmpty() -> refuse(spec, RefusalReason.NO_SERVER, estimate.coldMs)
            withinLimit.isEmpty() -> refuse(spec, RefusalReason.SERVER_LIMIT, estimate.coldMs)
            ready.isEmpty() -> refuse(spec, RefusalReason.COLD, estimate.coldMs)
            else -> selectAmong(spec, estimate, ready, nowMs)
        }
    }

    fun recordRequestSent(spec: RequestSpec, send: Placement.Send, nowMs: Long) {
        spillover.recordAttempt(spec, send, nowMs)
        candidates.find(send.server)?.let { candidates.recordRequestSent(it, nowMs) }
    }

    fun recordOutcome(spec: RequestSpec, send: Placement.Send, report: AttemptReport, nowMs: Long) {
        if (report.outcome == AttemptOutcome.SHED) queueAllowance.record(spec, isRefused = true, nowMs)
        candidates.find(send.server)?.let { estimates.recordOutcome(spec, send, report, it, nowMs) }
    }

    /**
     * Returns the retry delay for a refused caller: the minimum delay and half the expected wait, with jitter so that
     * callers don't all return at once.
     */
    fun retryAfterMs(id: String, waitMs: Double): Long =
        ((parameters.minRetryAfterMs + waitMs / 2) * (1 + hashToUnitInterval(id))).toLong()

    private fun selectAmong(
        spec: RequestSpec,
        estimate: ProcessingTimeEstimate,
        ready: List<KnownServer>,
        nowMs: Long,
    ): Placement {
        val keyRegion = spillover.keyRegionOf(spec, nowMs)
        val scores = candidates.selectByGroup(spec, ready).flatMap { scoreGroup(spec, estimate, it, keyRegion, nowMs) }
        val queueShare = queueAllowance.shareFor(spec, nowMs)
        val cheapest = selectBest(spec, scores, keyRegion, queueShare, nowMs)
        val hasOwnRegion = scores.any { it.server.distance != Distance.OTHER_REGION }
        val isSpilledOver = hasOwnRegion && cheapest.server.distance == Distance.OTHER_REGION
        val isUsable = isSpilledOver || scorer.isInTime(spec, cheapest, queueShare)
        val best = if (isUsable) cheapest else selectForLateRequest(scores, nowMs)
        queueAllowance.record(spec, isRefused = best == null, nowMs)
        if (best == null) return refuse(spec, RefusalReason.OVERLOAD, cheapest.times.queueMs)
        val record = best.server.record
        val load = best.server.load.estimate(nowMs)
        val choice = regionChoiceFor(best.server, hasOwnRegion)
        return Placement.Send(
            record.name,
            record.address,
            best.warmth,
            best.times.totalMs,
            load,
            best.server.region,
            choice,
            record.startedAtUnixMs,
        )
    }

    private fun scoreGroup(
        spec: RequestSpec,
        estimate: ProcessingTimeEstimate,
        group: List<KnownServer>,
        keyRegion: KeyRegion?,
        nowMs: Long,
    ): List<ServerScore> =
        group.mapIndexed { index, server -> scorer.score(spec, estimate, server, KeyPlace(index, keyRegion), nowMs) }

    /**
     * Returns the best score of the own region, or of another region when the request spills over or the own region has
     * no server.
     */
    private fun selectBest(
        spec: RequestSpec,
        scores: List<ServerScore>,
        keyRegion: KeyRegion?,
        queueShare: Double,
        nowMs: Long,
    ): ServerScore {
        val (own, others) = scores.partition { it.server.distance != Distance.OTHER_REGION }
        val bestOwn = own.minByOrNull { it.costMs } ?: return others.minBy { it.costMs }
        val (inTime, late) = others.groupBy { it.server.region }.values.map { group -> group.minBy { it.costMs } }
            .partition { scorer.isInTime(spec, it, queueShare) }
        val isOwnInTime = scorer.isInTime(spec, bestOwn, queueShare)
        // A late request would be refused here, so another region is cheaper although keys are evicted there.
        val allowanceMs = if (isOwnInTime) 0.0 else scorer.otherRegionSpreadMs(estimates.getForRoute(spec.route))
        val cheapest = inTime.minByOrNull { it.costMs }?.takeIf { it.costMs < bestOwn.costMs + allowanceMs }
        val routeSpillover = spillover.getForRequest(spec, nowMs)
        if (cheapest != null || isOwnInTime) {
            routeSpillover.recordComparison(cheapest != null, cheapest?.server?.region)
        }
        // When other regions become full, their requests return as fast as the shares fall. Until then a request keeps
        // to its turn although it will be late, unless its deadline would pass.
        val possible = if (isOwnInTime) late.filter { nowMs + it.times.totalMs < spec.deadlineAtMs } else emptyList()
        val chosen = if (keyRegion == null) {
            routeSpillover.choose(inTime + possible, cheapest, nowMs)
        } else {
            routeSpillover.chooseByKey(inTime + possible, keyRegion.otherRegion, nowMs)
        }
        return chosen ?: bestOwn
    }

    /**
     * Returns the server of the own region for a request that the cheapest server can't finish in time, or null. Only
     * the first choice for the key with spare capacity, or the next choice if it is nearly idle, is used: on other
     * servers the request would evict another key and take the time of several other requests, which costs more than it
     * gains (see LoadPatternTest).
     */
    private fun selectForLateRequest(scores: List<ServerScore>, nowMs: Long): ServerScore? = scores
        .filter { it.server.distance != Distance.OTHER_REGION }
        .filter { it.rank < parameters.candidateLimits.lateRequestServers }
        .filter { scorer.hasSpareCapacity(it, nowMs) }
        .minByOrNull { it.costMs }

    private fun refuse(spec: RequestSpec, reason: RefusalReason, waitMs: Double): Placement.Refuse =
        Placement.Refuse(reason, retryAfterMs(spec.id, waitMs))
}

private fun regionChoiceFor(server: KnownServer, hasOwnRegion: Boolean): RegionChoice = when {
    server.distance != Distance.OTHER_REGION -> RegionChoice.HOME
    hasOwnRegion -> RegionChoice.LENT
    else -> RegionChoice.NO_HOME_SERVER
}
