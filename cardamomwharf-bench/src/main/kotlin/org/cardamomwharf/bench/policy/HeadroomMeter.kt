/*
 * Measures how much of its slots a service has free. The region that is fullest at each moment tells how well bursts
 * spread; the one that is fullest on the whole tells how well the load does.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.RegionName

/** Represents the free slots of one service over time. */
public class HeadroomMeter {
    private val sums = HashMap<RegionName, Long>()
    private var leastSum = 0L
    private var samples = 0

    /** The free slots of the region that is fullest at each moment, in percent, mean over time. */
    public val meanLeastPercent: Double get() = leastSum.toDouble() / samples.coerceAtLeast(1)

    /** The free slots of the region that is fullest on the whole, in percent, mean over time. */
    public val fullestRegionPercent: Double
        get() = (sums.values.minOrNull() ?: 0L).toDouble() / samples.coerceAtLeast(1)

    /** Notes the free slots of each region in percent. */
    public fun note(freePercent: Map<RegionName, Int>) {
        leastSum += freePercent.values.minOrNull() ?: 0
        freePercent.forEach { (region, percent) -> sums.merge(region, percent.toLong(), Long::plus) }
        samples++
    }
}
