/*
 * Predicts the completion time of a request on a backend server: network time, queueing and processing.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.TransferKind
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer

/** Rank in a key's server order beyond which the spread penalty no longer grows. */
private const val MAX_PENALIZED_RANK = 4

/**
 * Spread of the first choice of another region, in ranks. The request evicts a key there, but all instances of the
 * region send the key to the same server. LoadPatternTest covers the value.
 */
private const val OTHER_REGION_SPREAD = 0.3

/**
 * Spread of a server in a region with few servers for a key that belongs to another region, in ranks. The servers cache
 * fewer keys than their region has, so the request evicts one that is needed. UnevenRegionsTest covers the value.
 */
private const val FEW_SERVERS_SPREAD = 1.0

/** Share of a first-choice server's slots up to which it takes late requests; the rest is reserved for its own keys. */
private const val FIRST_CHOICE_LOAD_SHARE = 0.5

/** Represents the predicted parts of a request's time. */
internal class PredictedTimes(val networkMs: Double, val queueMs: Double, val processingMs: Double) {
    val totalMs: Double get() = networkMs + queueMs + processingMs
}

/**
 * Represents the score of one backend server.
 *
 * @param rank rank of the server for the key within its region; 0 is the first choice.
 * @param costMs predicted time plus penalties for distance and failures; the lowest cost is the best.
 */
internal class ServerScore(
    val server: KnownServer,
    val rank: Int,
    val warmth: Warmth,
    val times: PredictedTimes,
    val costMs: Double,
)

/** Scores single servers. */
internal class ServerScorer(
    private val parameters: SteeringParameters,
    private val roundTripTimes: RoundTripTimes,
) {
    /**
     * Returns the score of [server], which has the given [place] for the key.
     */
    fun score(
        spec: RequestSpec,
        estimate: ProcessingTimeEstimate,
        server: KnownServer,
        place: KeyPlace,
        nowMs: Long,
    ): ServerScore {
        val rank = place.rank
        val warmth = when {
            spec.affinityKey != null && spec.affinityKey in server.warmKeys -> Warmth.KNOWN
            rank == 0 -> Warmth.FIRST_CHOICE
            else -> Warmth.OTHER
        }
        val slowness = server.health.slowness(nowMs)
        val queueLength = (server.load.estimate(nowMs) + 1 - server.slots).coerceAtLeast(0.0)
        val queueMs = queueLength / server.slots * (estimate.warmMs + estimate.coldMs) / 2 * slowness *
            server.load.slowdown(nowMs)
        val networkMs = roundTripTimes.estimateMs(server)
        val startsAtMs = nowMs + (networkMs / 2 + queueMs).toLong()
        val processingMs = estimate.expectedMs(warmth) * slowness * server.load.slowdown(startsAtMs)
        val times = PredictedTimes(networkMs, queueMs, processingMs)
        val penaltyMs = distancePenaltyMs(spec.route.transfer, server.distance) +
            parameters.spreadPenaltyFactor * spread(server, place) * estimate.savedMs +
            server.health.failureRate(nowMs) * spec.route.targetLatencyMs -
            if (server.isUntried && spec.route.isIdempotent) estimate.coldMs else 0.0
        return ServerScore(server, rank, warmth, times, times.totalMs + penaltyMs)
    }

    /**
     * Returns true when a request is expected to meet its target latency. A request that can't meet it even without a
     * queue counts as in time on a server with a free slot.
     *
     * @param queueShare share of the time for waiting that the request may use.
     */
    fun isInTime(spec: RequestSpec, score: ServerScore, queueShare: Double): Boolean {
        val remainingMs = spec.route.targetLatencyMs - score.times.processingMs - score.times.networkMs
        return score.times.queueMs <= queueShare * remainingMs.coerceAtLeast(0.0)
    }

    /** Returns true when the server has spare capacity for a request that will be late anyway. */
    fun hasSpareCapacity(score: ServerScore, nowMs: Long): Boolean {
        val slots = score.server.slots
        val otherLimit = maxOf(1.0, slots * parameters.candidateLimits.lateRequestLoadShare)
        return score.server.load.estimate(nowMs) <= if (score.rank == 0) slots * FIRST_CHOICE_LOAD_SHARE else otherLimit
    }

    /** Returns the part of the cost of another region's server that stands for the key that is evicted there. */
    fun otherRegionSpreadMs(estimate: ProcessingTimeEstimate): Double =
        parameters.spreadPenaltyFactor * OTHER_REGION_SPREAD * estimate.savedMs

    /**
     * Returns how far the request is from the server whose cache is meant for its key, in ranks. If the key has no
     * region, that is a server of the own one.
     */
    private fun spread(server: KnownServer, place: KeyPlace): Double {
        val otherRegion = server.region.takeIf { server.distance == Distance.OTHER_REGION }
        val regionSpread = when {
            otherRegion == place.keyRegion?.otherRegion -> 0.0
            otherRegion == null -> FEW_SERVERS_SPREAD
            else -> OTHER_REGION_SPREAD
        }
        return minOf(place.rank, MAX_PENALIZED_RANK) + regionSpread
    }

    private fun distancePenaltyMs(transfer: TransferKind, distance: Distance): Double = when {
        distance == Distance.SAME_ZONE -> 0.0
        transfer != TransferKind.SMALL -> parameters.largeBodyPenaltyMs
        distance == Distance.SAME_REGION -> parameters.zonePenaltyMs
        else -> parameters.regionPenaltyMs
    }
}
