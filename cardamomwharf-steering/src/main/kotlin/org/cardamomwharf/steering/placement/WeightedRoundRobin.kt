/*
 * Smooth weighted round-robin over the services of a route: each request goes to the service that is furthest behind
 * its share.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.desired.WeightedService

/** Selects services of one route by weight on this instance. */
public class WeightedRoundRobin(private val backends: List<WeightedService>) {
    private val credits = DoubleArray(backends.size)
    private val totalWeight = backends.sumOf { it.weight }

    /** Returns the service of the next request. */
    public fun next(): ServiceName {
        if (backends.size == 1 || totalWeight <= 0.0) return backends.first().service
        backends.forEachIndexed { index, backend -> credits[index] += backend.weight / totalWeight }
        val chosen = credits.indices.maxBy { credits[it] }
        credits[chosen] -= 1.0
        return backends[chosen].service
    }
}
