/*
 * What the objective of a document changes: when a region starts to shift traffic away, when it stops, and how other
 * regions are preferred.
 */
package org.cardamomwharf.decision.shift

import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.core.document.Policy

/** Represents what a shift does next. */
public enum class ShiftDirection { GROW, HOLD, SHRINK }

/** Represents the rule of one objective. */
public interface ShiftRule {
    /** Returns the direction for a region that is used to [ownPercent] while the others are at [othersPercent]. */
    public fun direct(ownPercent: Int, othersPercent: Int, policy: Policy): ShiftDirection

    /** Returns the preference of a place with [use] and the document's [weight]; larger is better. */
    public fun prefer(use: SlotUse, weight: Int): Double
}

/** Returns the rule of [objective]. */
public fun shiftRuleOf(objective: Objective): ShiftRule = when (objective) {
    Objective.LATENCY -> LatencyRule
    Objective.HEADROOM -> HeadroomRule
}

/** Keeps traffic near its clients until the own region is nearly full. */
private object LatencyRule : ShiftRule {
    override fun direct(ownPercent: Int, othersPercent: Int, policy: Policy): ShiftDirection = when {
        ownPercent > policy.shiftStartPercent && othersPercent < policy.shiftStartPercent -> ShiftDirection.GROW
        ownPercent < policy.shiftStopPercent -> ShiftDirection.SHRINK
        else -> ShiftDirection.HOLD
    }

    override fun prefer(use: SlotUse, weight: Int): Double = if (use.free > 0) weight.toDouble() else 0.0
}

/** Evens out the use of regions; the gap between start and stop is the hysteresis. */
private object HeadroomRule : ShiftRule {
    private const val START_GAP_PERCENT = 10
    private const val STOP_GAP_PERCENT = 3

    override fun direct(ownPercent: Int, othersPercent: Int, policy: Policy): ShiftDirection = when {
        ownPercent - othersPercent > START_GAP_PERCENT -> ShiftDirection.GROW
        ownPercent - othersPercent < STOP_GAP_PERCENT -> ShiftDirection.SHRINK
        else -> ShiftDirection.HOLD
    }

    override fun prefer(use: SlotUse, weight: Int): Double = use.free.toDouble() * weight
}
