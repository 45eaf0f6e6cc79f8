/*
 * Decides which part of a region's clients is directed to other regions by look-up. The part changes by a limited step
 * per interval, so that caches warm up and measurements keep up; without recent measurements the last plan is kept.
 */
package org.cardamomwharf.decision.shift

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service

private const val PERMILLE_PER_PERCENT = 10
private const val DEFAULT_WEIGHT = 1

/**
 * Represents how the clients of the own region are divided among regions, for one service.
 *
 * @param shiftedPermille the part of the clients that is directed to other regions.
 * @param targets the other regions with their parts, which add up to [shiftedPermille] at most.
 */
public data class RegionSplit(
    public val shiftedPermille: Int = 0,
    public val targets: Map<RegionName, Int> = emptyMap(),
) {
    /** Returns the region for a client at [position] in `[0, 1)`; clients that aren't shifted remain at [home]. */
    public fun chooseRegion(position: Double, home: RegionName): RegionName {
        var remaining = (position * WHOLE_PERMILLE).toInt()
        for ((region, permille) in targets) {
            if (remaining < permille) return region
            remaining -= permille
        }
        return home
    }
}

/**
 * Represents the splits of all services for the clients of the own region.
 *
 * @param usages smoothed usage of each region, per service.
 */
public data class ShiftPlan(
    public val splits: PersistentMap<ServiceName, RegionSplit> = persistentMapOf(),
    public val usages: PersistentMap<ServiceName, Map<RegionName, RegionUsage>> = persistentMapOf(),
    public val plannedAtMs: Long = 0,
)

/**
 * Represents the input of one step of the plan.
 *
 * @param usages slot usage of each region, per service; a region without recent measurements is absent.
 */
public data class ShiftInput(
    public val index: DocumentIndex,
    public val home: RegionName,
    public val usages: Map<ServiceName, Map<RegionName, SlotUsage>>,
    public val drainedAtHome: Set<ServiceName>,
    public val nowMs: Long,
)

/** Returns the plan after one step, or the same plan while the shift interval has not passed. */
public fun ShiftPlan.advance(input: ShiftInput): ShiftPlan {
    if (input.nowMs - plannedAtMs < input.index.document.policy.shiftIntervalMs) return this
    val services = input.index.document.services
    val smoothed = services.associate { it.name to smoothUsages(it.name, input) }
    val next = services.associate { service ->
        val current = splits[service.name] ?: RegionSplit()
        service.name to current.advance(service, smoothed.getValue(service.name), input)
    }
    return ShiftPlan(next.toPersistentMap(), smoothed.toPersistentMap(), input.nowMs)
}

/** Returns the smoothed usage of the measured regions; earlier values of other regions are dropped. */
private fun ShiftPlan.smoothUsages(service: ServiceName, input: ShiftInput): Map<RegionName, RegionUsage> {
    val previous = usages[service].orEmpty()
    return input.usages[service].orEmpty().mapValues { (region, slots) ->
        val measured = slots.toRegionUsage()
        previous[region]?.smooth(measured) ?: measured
    }
}

private fun RegionSplit.advance(
    service: Service,
    usages: Map<RegionName, RegionUsage>,
    input: ShiftInput,
): RegionSplit {
    val own = usages[input.home]
    val others = usages.filterKeys { it != input.home }
    if (own == null || others.isEmpty()) return this
    val maxChange = input.index.document.policy.largestShiftPercent * PERMILLE_PER_PERCENT
    val target = computeTarget(service, own, others, input)
        .coerceIn(shiftedPermille - maxChange, shiftedPermille + maxChange)
    return divide(service, target.coerceIn(0, WHOLE_PERMILLE), others, input)
}

private fun RegionSplit.computeTarget(
    service: Service,
    own: RegionUsage,
    others: Map<RegionName, RegionUsage>,
    input: ShiftInput,
): Int {
    if (service.name in input.drainedAtHome) return WHOLE_PERMILLE
    val rule = getShiftRule(input.index.document.objective)
    return rule.computeShift(shiftedPermille, own, others.values.combine(), input.index.document.policy)
}

private fun RegionSplit.divide(
    service: Service,
    permille: Int,
    others: Map<RegionName, RegionUsage>,
    input: ShiftInput,
): RegionSplit {
    val rule = getShiftRule(input.index.document.objective)
    val weights = service.regionWeights.associate { it.region to it.weight }
    val preferences = others.mapValues { (region, usage) ->
        rule.computePreference(usage.freeSlots, weights[region] ?: DEFAULT_WEIGHT)
    }
    val sum = preferences.values.sum()
    if (sum <= 0.0) return this
    val targets = preferences.entries
        .sortedBy { it.key.value }
        .associate { (region, preference) -> region to (permille * preference / sum).toInt() }
    return RegionSplit(permille, targets)
}
