/*
 * Chooses the backend server of a request by the finish that is predicted for each. All instances rank the servers of a
 * region alike for a key, so that its requests meet. What would finish too late everywhere is refused at once.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RegionChoice
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer

internal class Placer(
    private val terms: SteeringParameters,
    private val candidates: Candidates,
    private val spillover: RegionSpillover,
    roundTripTimes: RoundTripTimes,
) {
    private val estimates = EstimateBook(terms, roundTripTimes)
    private val rater = ServerRater(terms, roundTripTimes)

    fun choose(spec: RequestSpec, excluded: Set<ServerName>, nowMs: Long): Placement {
        val work = estimates.of(spec.route)
        val open = candidates.usable(spec, excluded, work, nowMs)
        val ready = open.filter { candidates.isReady(it, nowMs) }
        return when {
            open.isEmpty() -> refuse(spec, RefusalReason.NO_SERVER, work.coldMs)
            ready.isEmpty() -> refuse(spec, RefusalReason.COLD, work.coldMs)
            else -> placeAmong(spec, work, ready, nowMs)
        }
    }

    fun noteSent(spec: RequestSpec, send: Placement.Send, nowMs: Long) {
        spillover.noteSent(spec.service, send)
        candidates.find(send.server)?.let { candidates.noteSent(it, nowMs) }
    }

    fun noteEnd(spec: RequestSpec, send: Placement.Send, report: AttemptReport, nowMs: Long) {
        candidates.find(send.server)?.let { estimates.learn(spec, send, report, it, nowMs) }
    }

    /** Returns the delay for a refused caller: the expected wait, spread so that callers don't return all at once. */
    fun retryAfterMs(id: String, waitMs: Double): Long =
        ((terms.shortestRetryAfterMs + waitMs / 2) * (1 + hashToUnitInterval(id))).toLong()

    private fun placeAmong(
        spec: RequestSpec,
        work: WorkEstimates,
        ready: List<KnownServer>,
        nowMs: Long,
    ): Placement {
        val ratings = candidates.ordered(spec, ready).flatMap { rateGroup(spec, work, it, nowMs) }
        val cheapest = bestOf(spec, ratings)
        val hasHome = ratings.any { it.server.distance != Distance.OTHER_REGION }
        val best = if (rater.isInTime(spec, cheapest)) cheapest else spareOf(ratings, nowMs)
        if (best == null) return refuse(spec, RefusalReason.OVERLOAD, cheapest.times.waitMs)
        val record = best.server.record
        val load = best.server.load.estimate(nowMs)
        val choice = choiceOf(best.server, hasHome)
        return Placement.Send(
            record.name,
            record.address,
            best.warmth,
            best.times.totalMs,
            load,
            best.server.region,
            choice,
        )
    }

    private fun rateGroup(
        spec: RequestSpec,
        work: WorkEstimates,
        group: List<KnownServer>,
        nowMs: Long,
    ): List<Rating> =
        group.mapIndexed { index, server -> rater.rate(spec, work, server, place = index, nowMs) }

    /** Returns the best of the own region, or of another when this request is lent or the own region has none. */
    private fun bestOf(spec: RequestSpec, ratings: List<Rating>): Rating {
        val (own, other) = ratings.partition { it.server.distance != Distance.OTHER_REGION }
        val bestOwn = own.minByOrNull { it.costMs }
        val bestOther = other.minByOrNull { it.costMs }
        return when {
            bestOwn == null -> checkNotNull(bestOther)
            bestOther == null -> bestOwn
            isLent(spec, bestOwn, bestOther) -> bestOther
            else -> bestOwn
        }
    }

    /** Returns true when the request goes to [other] instead of [own]. */
    private fun isLent(spec: RequestSpec, own: Rating, other: Rating): Boolean {
        val gains = other.costMs < own.costMs
        val lending = spillover.of(spec.service)
        if (rater.isInTime(spec, if (gains) other else own)) lending.noteGain(gains)
        return lending.isDue(gains)
    }

    /**
     * Returns the server of the own region that takes a request which the cheapest one can't finish in time, or null.
     * Only a first choice for the key that has room does, and the next choice when it is nearly idle: elsewhere the
     * request would displace another key and take the time of several others, which LoadPatternTest shows to cost more
     * than it brings.
     */
    private fun spareOf(ratings: List<Rating>, nowMs: Long): Rating? = ratings
        .filter { it.server.distance != Distance.OTHER_REGION && it.place < terms.choices.whenLate }
        .filter { rater.hasRoom(it, nowMs) }
        .minByOrNull { it.costMs }

    private fun refuse(spec: RequestSpec, reason: RefusalReason, waitMs: Double): Placement.Refuse =
        Placement.Refuse(reason, retryAfterMs(spec.id, waitMs))
}

private fun choiceOf(server: KnownServer, hasHome: Boolean): RegionChoice = when {
    server.distance != Distance.OTHER_REGION -> RegionChoice.HOME
    hasHome -> RegionChoice.LENT
    else -> RegionChoice.NO_HOME_SERVER
}
