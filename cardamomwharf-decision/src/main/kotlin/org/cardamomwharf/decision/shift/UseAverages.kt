/*
 * Moving averages of the slot use of regions. Single measurements of small pools vary much; shifts that followed them
 * would move traffic back and forth for nothing.
 */
package org.cardamomwharf.decision.shift

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.cardamomwharf.core.RegionName

private const val NEW_PART = 0.125
private const val WHOLE_PERCENT = 100.0

/** Represents the averages of one service; a region that isn't measured any more is dropped. */
public data class UseAverages(private val averages: PersistentMap<RegionName, RegionAverage> = persistentMapOf()) {
    /** Returns the used part of the slots of [region] in percent; 0 when it isn't known. */
    public fun usedPercentOf(region: RegionName): Int = averages[region]?.usedPercent?.toInt() ?: 0

    /** Returns the used part of the slots of all regions but [region] in percent; 100 when there are none. */
    public fun usedPercentWithout(region: RegionName): Int {
        val others = averages.filterKeys { it != region }.values
        val slots = others.sumOf { it.total }
        return if (slots == 0) WHOLE_PERCENT.toInt() else (others.sumOf { it.usedPercent * it.total } / slots).toInt()
    }

    /** Returns these averages after a measurement. */
    public fun note(uses: Map<RegionName, SlotUse>): UseAverages =
        UseAverages(uses.mapValues { (region, use) -> blend(averages[region], use) }.toPersistentMap())

    private fun blend(old: RegionAverage?, use: SlotUse): RegionAverage {
        val now = use.usedPercent.toDouble()
        val blended = if (old == null) now else old.usedPercent + NEW_PART * (now - old.usedPercent)
        return RegionAverage(blended, use.total)
    }
}

/** Represents the average of one region. */
public data class RegionAverage(public val usedPercent: Double, public val total: Int)
