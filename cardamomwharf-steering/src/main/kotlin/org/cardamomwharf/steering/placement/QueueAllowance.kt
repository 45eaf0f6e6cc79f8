/*
 * The queue in which a request may wait. While more urgent requests of its service are refused, a request may use only
 * a part of the time that its target latency leaves for waiting, so that the queues stay short enough for the urgent
 * ones. A server with a free slot takes every request, so no rank is starved.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.DecayingAverage

/** Part of the time for waiting that each request keeps, however many more urgent ones are refused. */
private const val MIN_SHARE = 0.1

/** Weight of one request; an instance of a large deployment sees only one or two of a kind per second. */
private const val OBSERVATION_WEIGHT = 0.3

/** Time constant after which a refusal no longer counts; the requests that wait in a queue take about as long. */
private const val REFUSAL_DECAY_MS = 3_000.0

/** Tracks the refusals of each service by rank. */
internal class QueueAllowance(private val parameters: SteeringParameters) {
    private val refusalRates = HashMap<ServiceName, HashMap<Int, DecayingAverage>>()

    /** Returns the share of its time for waiting that [spec] may use; 1 while no more urgent request is refused. */
    fun shareFor(spec: RequestSpec, nowMs: Long): Double {
        val moreUrgent = refusalRates[spec.service].orEmpty().filterKeys { it < spec.rank }.values
        val refusalRate = moreUrgent.maxOfOrNull { it.valueAt(nowMs) } ?: 0.0
        return (1.0 - parameters.urgencyFactor * refusalRate).coerceAtLeast(MIN_SHARE)
    }

    /** Records whether a request [isRefused] for want of room, by this instance or by a server. */
    fun record(spec: RequestSpec, isRefused: Boolean, nowMs: Long) {
        refusalRates.getOrPut(spec.service) { HashMap() }
            .getOrPut(spec.rank) { DecayingAverage(0.0, REFUSAL_DECAY_MS) }
            .add(if (isRefused) 1.0 else 0.0, OBSERVATION_WEIGHT, nowMs)
    }
}
