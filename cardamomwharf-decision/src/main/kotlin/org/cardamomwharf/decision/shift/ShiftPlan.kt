/*
 * Decides which part of a region's clients is sent to other regions by look-up. The part moves by one limited step in
 * each interval, so that caches warm up and measurements catch up; without young measurements the last plan holds.
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
 * Represents the split of one service for clients of the own region.
 *
 * @param shiftedPermille the part of the clients that is sent to other regions.
 * @param targets the other regions with their parts of [shiftedPermille].
 */
public data class RegionSplit(
    public val shiftedPermille: Int = 0,
    public val targets: Map<RegionName, Int> = emptyMap(),
) {
    /** Returns the region for a client at [position] in `[0, 1)`; [home] gets all that isn't shifted. */
    public fun chooseRegion(position: Double, home: RegionName): RegionName {
        var rest = (position * WHOLE_PERMILLE).toInt()
        for ((region, permille) in targets) {
            if (rest < permille) return region
            rest -= permille
        }
        return home
    }
}

/**
 * Represents the splits of all services for clients of the own region.
 *
 * @param uses smoothed use by region for each service.
 */
public data class ShiftPlan(
    public val splits: PersistentMap<ServiceName, RegionSplit> = persistentMapOf(),
    public val uses: PersistentMap<ServiceName, Map<RegionName, RegionUsage>> = persistentMapOf(),
    public val plannedAtMs: Long = 0,
)

/**
 * Represents what one step of the plan needs to know.
 *
 * @param uses slot use by region for each service; a region without young measurements is absent.
 */
public data class ShiftInput(
    public val index: DocumentIndex,
    public val home: RegionName,
    public val uses: Map<ServiceName, Map<RegionName, SlotUsage>>,
    public val drainedAtHome: Set<ServiceName>,
    public val nowMs: Long,
)

/** Returns the plan after one step, or the same plan before the interval has passed. */
public fun ShiftPlan.advance(input: ShiftInput): ShiftPlan {
    if (input.nowMs - plannedAtMs < input.index.document.policy.shiftIntervalMs) return this
    val services = input.index.document.services
    val smoothed = services.associate { it.name to smoothUses(it.name, input) }
    val next = services.associate { service ->
        val current = splits[service.name] ?: RegionSplit()
        service.name to current.advance(service, smoothed.getValue(service.name), input)
    }
    return ShiftPlan(next.toPersistentMap(), smoothed.toPersistentMap(), input.nowMs)
}

/** Returns the use of the regions that were measured now; what was known of others is dropped. */
private fun ShiftPlan.smoothUses(service: ServiceName, input: ShiftInput): Map<RegionName, RegionUsage> {
    val before = uses[service].orEmpty()
    return input.uses[service].orEmpty().mapValues { (region, slots) ->
        val measured = slots.toRegionUsage()
        before[region]?.smooth(measured) ?: measured
    }
}

private fun RegionSplit.advance(
    service: Service,
    uses: Map<RegionName, RegionUsage>,
    input: ShiftInput,
): RegionSplit {
    val own = uses[input.home]
    val others = uses.filterKeys { it != input.home }
    if (own == null || others.isEmpty()) return this
    val step = input.index.document.policy.largestShiftPercent * PERMILLE_PER_PERCENT
    val wanted = computeTarget(service, own, others, input).coerceIn(shiftedPermille - step, shiftedPermille + step)
    return divide(service, wanted.coerceIn(0, WHOLE_PERMILLE), others, input)
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
    val preferences =
        others.mapValues { (region, use) -> rule.computePreference(use.freeSlots, weights[region] ?: DEFAULT_WEIGHT) }
    val sum = preferences.values.sum()
    if (sum <= 0.0) return this
    val targets = preferences.entries
        .sortedBy { it.key.value }
        .associate { (region, preference) -> region to (permille * preference / sum).toInt() }
    return RegionSplit(permille, targets)
}
