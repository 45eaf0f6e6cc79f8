/*
 * Verifies the steps of shifts, against regions whose usage follows from the split.
 */
package org.cardamomwharf.decision.shift

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.decision.support.NORTH
import org.cardamomwharf.decision.support.READS
import org.cardamomwharf.decision.support.SOUTH
import org.cardamomwharf.decision.support.sampleDocument
import kotlin.math.abs

private const val SLOTS = 1_000
private const val STEPS = 60

/** Returns the plans of region north after each step, for a constant demand in permille of the slots of each region. */
private fun planSteps(objective: Objective, northPermille: Int, southPermille: Int): List<ShiftPlan> {
    val index = DocumentIndex(sampleDocument(objective = objective))
    return (1..STEPS).runningFold(ShiftPlan()) { plan, step ->
        val moved = northPermille * (plan.splits[READS]?.shiftedPermille ?: 0) / SLOTS
        val usages = mapOf(
            NORTH to SlotUsage(SLOTS - (northPermille - moved), SLOTS),
            SOUTH to SlotUsage(SLOTS - (southPermille + moved), SLOTS),
        )
        plan.advance(ShiftInput(index, NORTH, mapOf(READS to usages), emptySet(), step * 1_000L))
    }
}

private fun ShiftPlan.getShiftedPermille(): Int = splits[READS]?.shiftedPermille ?: 0

class ShiftPlanTest : FunSpec({
    test("`for headroom a busier region shifts as many clients as balances the regions`") {
        val last = planSteps(Objective.HEADROOM, northPermille = 900, southPermille = 400).last().getShiftedPermille()
        val even = (900 - 400) * SLOTS / (2 * 900)
        last shouldBeInRange (even - 60)..(even + 20)
    }

    test("`for latency a region keeps its clients until it is nearly full`") {
        planSteps(Objective.LATENCY, northPermille = 700, southPermille = 100).last().getShiftedPermille() shouldBe 0
        val shifted = planSteps(Objective.LATENCY, northPermille = 900, southPermille = 100).last().getShiftedPermille()
        shifted shouldBeInRange 150..400
    }

    test("`no step exceeds the limit of the document`") {
        Objective.entries.forEach { objective ->
            planSteps(objective, northPermille = 950, southPermille = 50).zipWithNext { before, after ->
                abs(after.getShiftedPermille() - before.getShiftedPermille()) shouldBeLessThanOrEqual 50
            }
        }
    }

    test("`balanced regions take back their clients, however many were shifted`") {
        val index = DocumentIndex(sampleDocument(objective = Objective.HEADROOM))
        val even = mapOf(READS to mapOf(NORTH to SlotUsage(400, SLOTS), SOUTH to SlotUsage(400, SLOTS)))
        val shifted = ShiftPlan().copy(splits = ShiftPlan().splits.put(READS, RegionSplit(500, mapOf(SOUTH to 500))))
        val last = (1..STEPS).fold(shifted) { plan, step ->
            plan.advance(ShiftInput(index, NORTH, even, emptySet(), step * 1_000L))
        }
        last.getShiftedPermille() shouldBe 0
    }

    test("`without measurements of other regions the split is unchanged`") {
        val index = DocumentIndex(sampleDocument(objective = Objective.HEADROOM))
        val alone = mapOf(READS to mapOf(NORTH to SlotUsage(0, SLOTS)))
        val shifted = ShiftPlan().copy(splits = ShiftPlan().splits.put(READS, RegionSplit(300, mapOf(SOUTH to 300))))
        shifted.advance(ShiftInput(index, NORTH, alone, emptySet(), 1_000)).getShiftedPermille() shouldBe 300
    }
})
