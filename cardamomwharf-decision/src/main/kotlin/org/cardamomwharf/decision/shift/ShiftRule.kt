/*
 * Shift rules of the objectives: which part of a region's clients to direct to other regions, and how to weight these.
 */
package org.cardamomwharf.decision.shift

import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.core.document.Policy
import kotlin.math.abs

private const val PERMILLE_PER_PERCENT = 10

/** Represents the shift rule of one objective. */
public interface ShiftRule {
    /** Returns the permille of the clients to shift; [shiftedPermille] are shifted now. */
    public fun computeShift(shiftedPermille: Int, own: RegionUsage, others: RegionUsage, policy: Policy): Int

    /** Returns the preference for a target with [freeSlots] and the document's [weight]; larger is better. */
    public fun computePreference(freeSlots: Int, weight: Int): Double
}

/** Returns the shift rule of [objective]. */
public fun getShiftRule(objective: Objective): ShiftRule = when (objective) {
    Objective.LATENCY -> LatencyRule
    Objective.HEADROOM -> HeadroomRule
}

/** Keeps clients in their own region until it is nearly full. */
private object LatencyRule : ShiftRule {
    override fun computeShift(shiftedPermille: Int, own: RegionUsage, others: RegionUsage, policy: Policy): Int {
        val start = policy.shiftStartPercent * PERMILLE_PER_PERCENT
        val stop = policy.shiftStopPercent * PERMILLE_PER_PERCENT
        return when {
            own.usedPermille > start && others.usedPermille < start -> WHOLE_PERMILLE
            own.usedPermille < stop -> 0
            else -> shiftedPermille
        }
    }

    override fun computePreference(freeSlots: Int, weight: Int): Double = if (freeSlots > 0) weight.toDouble() else 0.0
}

/**
 * Balances the usage of regions. Small differences are random; while there is no larger one, clients return slowly,
 * since regions that shift clients to each other equally would remain balanced and shift them without need.
 */
private object HeadroomRule : ShiftRule {
    private const val IGNORED_DIFFERENCE_PERMILLE = 60
    private const val RETURN_STEP_PERMILLE = 20
    private const val MIN_KEPT_PERMILLE = 100

    override fun computeShift(shiftedPermille: Int, own: RegionUsage, others: RegionUsage, policy: Policy): Int {
        val difference = own.usedPermille - others.usedPermille
        if (abs(difference) <= IGNORED_DIFFERENCE_PERMILLE || others.totalSlots == 0) {
            return shiftedPermille - RETURN_STEP_PERMILLE
        }
        return shiftedPermille + computeChange(difference, shiftedPermille, own, others)
    }

    /** Returns the permille of clients to move to remove [difference]; their load moves to the other regions. */
    private fun computeChange(difference: Int, shiftedPermille: Int, own: RegionUsage, others: RegionUsage): Int {
        val keptPermille = (WHOLE_PERMILLE - shiftedPermille).coerceAtLeast(MIN_KEPT_PERMILLE)
        val demandPermille = (own.usedPermille * WHOLE_PERMILLE / keptPermille).coerceAtLeast(1)
        val growthRatio = own.totalSlots.toDouble() / others.totalSlots
        return (difference * WHOLE_PERMILLE / (demandPermille * (1 + growthRatio))).toInt()
    }

    override fun computePreference(freeSlots: Int, weight: Int): Double = freeSlots.toDouble() * weight
}
