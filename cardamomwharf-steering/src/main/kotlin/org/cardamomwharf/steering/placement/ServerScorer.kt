/*
 * Predicts when a request would finish at a backend server: the way there, the wait for a slot, and the estimate.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer

/** Places in the order of a key's servers that cost more than the one before. */
private const val MAX_PENALIZED_RANK = 4

/** Share of a first choice's slots that may be in use while it has room for late requests; the rest is for its keys. */
private const val FIRST_CHOICE_LOAD_SHARE = 0.5

/** Represents the predicted parts of a request's time. */
internal class PredictedTimes(val networkMs: Double, val queueMs: Double, val processingMs: Double) {
    val totalMs: Double get() = networkMs + queueMs + processingMs
}

/**
 * Represents the prediction for one backend server.
 *
 * @param rank rank of the server in the order that its region has for the key; 0 is the first.
 * @param costMs the predicted time with what distance and failures add; the least is the best.
 */
internal class ServerScore(
    val server: KnownServer,
    val rank: Int,
    val warmth: Warmth,
    val times: PredictedTimes,
    val costMs: Double,
)

/** Predicts for single servers. */
internal class ServerScorer(
    private val parameters: SteeringParameters,
    private val roundTripTimes: RoundTripTimes,
) {
    /** Predicts for [server], which stands at [rank] in the order that its region has for the key; 0 is the first. */
    fun score(
        spec: RequestSpec,
        estimate: ProcessingTimeEstimate,
        server: KnownServer,
        rank: Int,
        nowMs: Long,
    ): ServerScore {
        val warmth = when {
            spec.affinityKey != null && spec.affinityKey in server.warmKeys -> Warmth.KNOWN
            rank == 0 -> Warmth.FIRST_CHOICE
            else -> Warmth.OTHER
        }
        val slowness = server.health.slowness(nowMs)
        val processingMs = estimate.expectedMs(warmth) * slowness
        val queueLength = (server.load.estimate(nowMs) + 1 - server.slots).coerceAtLeast(0.0)
        val queueMs = queueLength / server.slots * (estimate.warmMs + estimate.coldMs) / 2 * slowness
        val times = PredictedTimes(roundTripTimes.estimateMs(server), queueMs, processingMs)
        val penaltyMs = distancePenaltyMs(server.distance) +
            parameters.spreadPenaltyFactor * minOf(rank, MAX_PENALIZED_RANK) * estimate.savedMs +
            server.health.failureRate(nowMs) * spec.route.targetLatencyMs -
            if (server.isUntried && spec.route.isIdempotent) estimate.coldMs else 0.0
        return ServerScore(server, rank, warmth, times, times.totalMs + penaltyMs)
    }

    /** Returns true when a request finishes in time at a server; one that can't anyway needs a free slot there. */
    fun isInTime(spec: RequestSpec, score: ServerScore): Boolean {
        val remainingMs = spec.route.targetLatencyMs - score.times.processingMs - score.times.networkMs
        return score.times.queueMs <= remainingMs.coerceAtLeast(0.0)
    }

    /** Returns true when the server has room for a request that is late anyway. */
    fun hasSpareCapacity(score: ServerScore, nowMs: Long): Boolean {
        val slots = score.server.slots
        val otherLimit = maxOf(1.0, slots * parameters.candidateLimits.lateRequestLoadShare)
        return score.server.load.estimate(nowMs) <= if (score.rank == 0) slots * FIRST_CHOICE_LOAD_SHARE else otherLimit
    }

    private fun distancePenaltyMs(distance: Distance): Double = when (distance) {
        Distance.SAME_ZONE -> 0.0
        Distance.SAME_REGION -> parameters.zonePenaltyMs
        Distance.OTHER_REGION -> parameters.regionPenaltyMs
    }
}
