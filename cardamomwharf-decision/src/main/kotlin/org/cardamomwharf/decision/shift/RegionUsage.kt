/*
 * Slot usage of a region over time. Single measurements vary a lot where there are few slots, so shifts are computed
 * from smoothed values.
 */
package org.cardamomwharf.decision.shift

internal const val WHOLE_PERMILLE = 1_000

/** The divisor that gives the weight of a new measurement in the smoothed usage. */
private const val SMOOTHING_DIVISOR = 2

/** Represents the part of the slots of a region that is in use. */
public data class RegionUsage(public val usedPermille: Int, public val totalSlots: Int) {
    /** The free slots. */
    public val freeSlots: Int
        get() = (totalSlots.toLong() * (WHOLE_PERMILLE - usedPermille) / WHOLE_PERMILLE).toInt()
}

/** Returns the usage at the time of this measurement; a region without slots counts as full. */
public fun SlotUsage.toRegionUsage(): RegionUsage {
    val used = if (total <= 0) WHOLE_PERMILLE else (total - free) * WHOLE_PERMILLE / total
    return RegionUsage(used, total)
}

/** Returns this usage smoothed with the new measurement. */
public fun RegionUsage.smooth(measured: RegionUsage): RegionUsage {
    val change = (measured.usedPermille - usedPermille) / SMOOTHING_DIVISOR
    return RegionUsage(usedPermille + change, measured.totalSlots)
}

/** Returns the combined usage of these regions. */
public fun Collection<RegionUsage>.combine(): RegionUsage {
    val total = sumOf { it.totalSlots }
    val used = sumOf { it.usedPermille.toLong() * it.totalSlots }
    return RegionUsage(if (total == 0) WHOLE_PERMILLE else (used / total).toInt(), total)
}
