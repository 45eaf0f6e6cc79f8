/*
 * Smooth weighted round-robin over the services of a route: each request goes to the service that is furthest behind
 * its share.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.desired.WeightedService

/** Number of positions in the order of the services at which instances begin. */
private const val PHASES = 100

/**
 * Selects services of one route by weight on this instance.
 *
 * @param phase position between 0 and 1 at which the order begins, different on each instance, so that instances that
 * start together don't all send their requests to the same service at the same time.
 */
public class WeightedRoundRobin(private val backends: List<WeightedService>, phase: Double = 0.0) {
    private val credits = DoubleArray(backends.size)
    private val totalWeight = backends.sumOf { it.weight }

    init {
        repeat((phase * PHASES).toInt()) { next() }
    }

    /** Returns the service of the next request. */
    public fun next(): ServiceName {
        if (backends.size == 1 || totalWeight <= 0.0) return backends.first().service
        backends.forEachIndexed { index, backend -> credits[index] += backend.weight / totalWeight }
        val chosen = credits.indices.maxBy { credits[it] }
        credits[chosen] -= 1.0
        return backends[chosen].service
    }
}
