/*
 * The use of a region over time. A moment tells little where there are few slots, so what shifts go by is smoothed.
 */
package org.cardamomwharf.decision.shift

internal const val WHOLE_PERMILLE = 1_000

/** The part of a new measurement that counts, as a divisor. */
private const val SMOOTHING_DIVISOR = 2

/** Represents how far the slots of a region are used. */
public data class RegionUsage(public val usedPermille: Int, public val totalSlots: Int) {
    /** The slots that are free. */
    public val freeSlots: Int
        get() = (totalSlots.toLong() * (WHOLE_PERMILLE - usedPermille) / WHOLE_PERMILLE).toInt()
}

/** Returns the use at the moment of this measurement; a region without slots is full. */
public fun SlotUsage.toRegionUsage(): RegionUsage {
    val used = if (total <= 0) WHOLE_PERMILLE else (total - free) * WHOLE_PERMILLE / total
    return RegionUsage(used, total)
}

/** Returns this use after [measured] came in. */
public fun RegionUsage.smooth(measured: RegionUsage): RegionUsage {
    val change = (measured.usedPermille - usedPermille) / SMOOTHING_DIVISOR
    return RegionUsage(usedPermille + change, measured.totalSlots)
}

/** Returns the use of all these regions together. */
public fun Collection<RegionUsage>.combine(): RegionUsage {
    val total = sumOf { it.totalSlots }
    val used = sumOf { it.usedPermille.toLong() * it.totalSlots }
    return RegionUsage(if (total == 0) WHOLE_PERMILLE else (used / total).toInt(), total)
}
