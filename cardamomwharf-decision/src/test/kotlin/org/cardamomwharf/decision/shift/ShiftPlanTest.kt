/*
 * Shifts of a region's clients, step by step, against regions whose use follows from the split.
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

/** Returns the plans of the north after each step, when clients of both regions ask for this part of their slots. */
private fun planSteps(objective: Objective, northPermille: Int, southPermille: Int): List<ShiftPlan> {
    val index = DocumentIndex(sampleDocument(objective = objective))
    return (1..STEPS).runningFold(ShiftPlan()) { plan, step ->
        val moved = northPermille * (plan.splits[READS]?.shiftedPermille ?: 0) / SLOTS
        val uses = mapOf(
            NORTH to SlotUsage(SLOTS - (northPermille - moved), SLOTS),
            SOUTH to SlotUsage(SLOTS - (southPermille + moved), SLOTS),
        )
        plan.advance(ShiftInput(index, NORTH, mapOf(READS to uses), emptySet(), step * 1_000L))
    }
}

private fun ShiftPlan.shifted(): Int = splits[READS]?.shiftedPermille ?: 0

class ShiftPlanTest : FunSpec({
    test("`for headroom a busier region sends just so many clients away that regions become even`") {
        val last = planSteps(Objective.HEADROOM, northPermille = 900, southPermille = 400).last().shifted()
        val even = (900 - 400) * SLOTS / (2 * 900)
        last shouldBeInRange (even - 60)..(even + 20)
    }

    test("`for latency a region keeps its clients until it is nearly full`") {
        planSteps(Objective.LATENCY, northPermille = 700, southPermille = 100).last().shifted() shouldBe 0
        val shifted = planSteps(Objective.LATENCY, northPermille = 900, southPermille = 100).last().shifted()
        shifted shouldBeInRange 150..400
    }

    test("`no step is larger than the document allows`") {
        Objective.entries.forEach { objective ->
            planSteps(objective, northPermille = 950, southPermille = 50).zipWithNext { before, after ->
                abs(after.shifted() - before.shifted()) shouldBeLessThanOrEqual 50
            }
        }
    }

    test("`even regions take their clients back, however many were shifted`") {
        val index = DocumentIndex(sampleDocument(objective = Objective.HEADROOM))
        val even = mapOf(READS to mapOf(NORTH to SlotUsage(400, SLOTS), SOUTH to SlotUsage(400, SLOTS)))
        val shifted = ShiftPlan().copy(splits = ShiftPlan().splits.put(READS, RegionSplit(500, mapOf(SOUTH to 500))))
        val last = (1..STEPS).fold(shifted) { plan, step ->
            plan.advance(ShiftInput(index, NORTH, even, emptySet(), step * 1_000L))
        }
        last.shifted() shouldBe 0
    }

    test("`without measurements of other regions the split stays`") {
        val index = DocumentIndex(sampleDocument(objective = Objective.HEADROOM))
        val alone = mapOf(READS to mapOf(NORTH to SlotUsage(0, SLOTS)))
        val shifted = ShiftPlan().copy(splits = ShiftPlan().splits.put(READS, RegionSplit(300, mapOf(SOUTH to 300))))
        shifted.advance(ShiftInput(index, NORTH, alone, emptySet(), 1_000)).shifted() shouldBe 300
    }
})
