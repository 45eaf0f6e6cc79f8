/*
 * Tests over many seeded interleavings of faults that a booking runs at most once, and that a booking that was reported
 * as not run never ran.
 */
package org.cardamomwharf.decision.session

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.cardamomwharf.core.Outcome

private const val SPAN_MS = 12_000L
private const val END_MS = 30_000L

class AtMostOnceTest : FunSpec({
    test("`no booking runs twice, and a booking reported as not run never ran`") {
        var ran = 0
        var refused = 0
        checkAll(PropTestConfig(seed = 7_412, iterations = 150), Arb.long()) { seed ->
            val simulation = BookingSimulation(seed)
            simulation.start()
            simulation.book(count = 60, spanMs = SPAN_MS)
            simulation.scheduleFaults(SPAN_MS)
            simulation.run(END_MS)
            simulation.runs.filterValues { it > 1 }.shouldBeEmpty()
            simulation.ranDespiteNotRun.shouldBeEmpty()
            ran += simulation.outcomes.values.count { it.outcome == Outcome.RAN }
            refused += simulation.outcomes.values.count { it.outcome == Outcome.NOT_RUN }
        }
        ran shouldBeGreaterThan 0
        refused shouldBeGreaterThan 0
    }

    test("`without faults every booking runs once`") {
        val simulation = BookingSimulation(seed = 5, FaultRates(0, 0, 0, 0, 0, 0))
        simulation.start()
        simulation.book(count = 60, spanMs = SPAN_MS)
        simulation.run(END_MS)
        simulation.runs.size.let { it shouldBeGreaterThan 59 }
        simulation.runs.filterValues { it > 1 }.shouldBeEmpty()
    }
})
