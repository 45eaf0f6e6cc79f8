/*
 * Measures the free slots of a service. The region with the fewest free slots in each sample shows how well bursts are
 * spread; the region with the fewest free slots on average shows how well the load is spread.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.RegionName

/** Collects samples of the free slots of one service. */
public class HeadroomMeter {
    private val sums = HashMap<RegionName, Long>()
    private var leastSum = 0L
    private var samples = 0

    /** The mean over time of the free slots of the fullest region in each sample, in percent. */
    public val meanLeastPercent: Double get() = leastSum.toDouble() / samples.coerceAtLeast(1)

    /** The mean over time of the free slots of the region that is fullest on average, in percent. */
    public val fullestRegionPercent: Double
        get() = (sums.values.minOrNull() ?: 0L).toDouble() / samples.coerceAtLeast(1)

    /** Records one sample of the free slots of each region in percent. */
    public fun recordSample(freePercent: Map<RegionName, Int>) {
        leastSum += freePercent.values.minOrNull() ?: 0
        freePercent.forEach { (region, percent) -> sums.merge(region, percent.toLong(), Long::plus) }
        samples++
    }
}
