/*
 * What the objective of a document changes: which part of a region's clients is to be sent to other regions, and how
 * those regions are preferred.
 */
package org.cardamomwharf.decision.shift

import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.core.document.Policy
import kotlin.math.abs

private const val PERMILLE_PER_PERCENT = 10

/** Represents the rule of one objective. */
public interface ShiftRule {
    /** Returns the part of the clients to shift, in permille, when [shiftedPermille] are shifted now. */
    public fun computeShift(shiftedPermille: Int, own: RegionUsage, others: RegionUsage, policy: Policy): Int

    /** Returns the preference of a place with [freeSlots] and the document's [weight]; larger is better. */
    public fun computePreference(freeSlots: Int, weight: Int): Double
}

/** Returns the rule of [objective]. */
public fun getShiftRule(objective: Objective): ShiftRule = when (objective) {
    Objective.LATENCY -> LatencyRule
    Objective.HEADROOM -> HeadroomRule
}

/** Keeps traffic near its clients until the own region is nearly full. */
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
 * Evens out the use of regions. Small gaps come from chance; while there is no larger one, clients return slowly, as
 * regions that shift to each other alike would stay even without any need.
 */
private object HeadroomRule : ShiftRule {
    private const val IGNORED_GAP_PERMILLE = 60
    private const val RETURNED_PERMILLE = 20
    private const val LEAST_KEPT_PERMILLE = 100

    override fun computeShift(shiftedPermille: Int, own: RegionUsage, others: RegionUsage, policy: Policy): Int {
        val gap = own.usedPermille - others.usedPermille
        if (abs(gap) <= IGNORED_GAP_PERMILLE || others.totalSlots == 0) return shiftedPermille - RETURNED_PERMILLE
        return shiftedPermille + changeFor(gap, shiftedPermille, own, others)
    }

    /** Returns the part of the clients whose move closes [gap]: what leaves here arrives in the other regions. */
    private fun changeFor(gap: Int, shiftedPermille: Int, own: RegionUsage, others: RegionUsage): Int {
        val keptPermille = (WHOLE_PERMILLE - shiftedPermille).coerceAtLeast(LEAST_KEPT_PERMILLE)
        val demandPermille = (own.usedPermille * WHOLE_PERMILLE / keptPermille).coerceAtLeast(1)
        val growthOfOthers = own.totalSlots.toDouble() / others.totalSlots
        return (gap * WHOLE_PERMILLE / (demandPermille * (1 + growthOfOthers))).toInt()
    }

    override fun computePreference(freeSlots: Int, weight: Int): Double = freeSlots.toDouble() * weight
}
