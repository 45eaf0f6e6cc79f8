/*
 * Predicts when a request would finish at a backend server: the way there, the wait for a slot, and the work.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer

/** Places in the order of a key's servers that cost more than the one before. */
private const val LARGEST_SPREAD = 4

/** Share of a first choice's slots that may be in use while it has room for late requests; the rest is for its keys. */
private const val FIRST_ROOM_SHARE = 0.5

/** Represents the predicted parts of a request's time. */
internal class PredictedTimes(val travelMs: Double, val waitMs: Double, val workMs: Double) {
    val totalMs: Double get() = travelMs + waitMs + workMs
}

/**
 * Represents the prediction for one backend server.
 *
 * @param place place of the server in the order that its region has for the key; 0 is the first.
 * @param costMs the predicted time with what distance and failures add; the least is the best.
 */
internal class Rating(
    val server: KnownServer,
    val place: Int,
    val warmth: Warmth,
    val times: PredictedTimes,
    val costMs: Double,
)

/** Predicts for single servers. */
internal class ServerRater(
    private val terms: SteeringParameters,
    private val roundTripTimes: RoundTripTimes,
) {
    /** Predicts for [server], which stands at [place] in the order that its region has for the key; 0 is the first. */
    fun rate(
        spec: RequestSpec,
        work: WorkEstimates,
        server: KnownServer,
        place: Int,
        nowMs: Long,
    ): Rating {
        val warmth = when {
            spec.affinityKey != null && spec.affinityKey in server.warmKeys -> Warmth.KNOWN
            place == 0 -> Warmth.FIRST_CHOICE
            else -> Warmth.OTHER
        }
        val slowness = server.trust.slowness(nowMs)
        val workMs = work.expectMs(warmth) * slowness
        val ahead = (server.load.estimate(nowMs) + 1 - server.slots).coerceAtLeast(0.0)
        val waitMs = ahead / server.slots * (work.warmMs + work.coldMs) / 2 * slowness
        val times = PredictedTimes(roundTripTimes.estimateMs(server), waitMs, workMs)
        val extraMs = penaltyMs(server.distance) +
            terms.spreadPenaltyShare * minOf(place, LARGEST_SPREAD) * work.savedMs +
            server.trust.failureShare(nowMs) * spec.route.targetLatencyMs -
            if (server.isUnproven && spec.route.isIdempotent) work.coldMs else 0.0
        return Rating(server, place, warmth, times, times.totalMs + extraMs)
    }

    /** Returns true when a request finishes in time at a server; one that can't anyway needs a free slot there. */
    fun isInTime(spec: RequestSpec, rating: Rating): Boolean {
        val leftMs = spec.route.targetLatencyMs - rating.times.workMs - rating.times.travelMs
        return rating.times.waitMs <= leftMs.coerceAtLeast(0.0)
    }

    /** Returns true when the server has room for a request that is late anyway. */
    fun hasRoom(rating: Rating, nowMs: Long): Boolean {
        val slots = rating.server.slots
        val next = maxOf(1.0, slots * terms.choices.nextRoomShare)
        return rating.server.load.estimate(nowMs) <= if (rating.place == 0) slots * FIRST_ROOM_SHARE else next
    }

    private fun penaltyMs(distance: Distance): Double = when (distance) {
        Distance.SAME_ZONE -> 0.0
        Distance.SAME_REGION -> terms.zonePenaltyMs
        Distance.OTHER_REGION -> terms.regionPenaltyMs
    }
}
