/*
 * Tests which requests an instance that is stopping still sends to backend servers.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.StopPlan
import org.cardamomwharf.steering.support.BOOKINGS
import org.cardamomwharf.steering.support.READS
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createSpec
import org.cardamomwharf.steering.support.createSteering
import org.cardamomwharf.steering.support.send

private const val ACCEPT_UNTIL_MS = 3_000L
private const val ENDS_AT_MS = 5_400L

class StopTest : FunSpec({
    fun stopping(): Steering =
        createSteering(
            createServer("s1"),
            createServer("s2")
        ).apply { stopPlan = StopPlan(ACCEPT_UNTIL_MS, ENDS_AT_MS) }

    fun refusal(placement: Placement) = (placement as? Placement.Refuse)?.reason

    // Guards against requests that arrive late in a stop, are sent to a server and cut off by the end of the process.
    for (route in listOf(READS, BOOKINGS)) {
        test("`${route.name} that arrive late in a stop are refused unless their deadline passes before its end`") {
            val long = route.copy(timeoutMs = 3_000)
            val short = route.copy(timeoutMs = 1_000)
            for (atMs in ACCEPT_UNTIL_MS until ENDS_AT_MS step 100) {
                refusal(stopping().place(createSpec(1, long, nowMs = atMs), atMs)) shouldBe RefusalReason.STOPPING
                val expected = if (atMs + short.timeoutMs <= ENDS_AT_MS) null else RefusalReason.STOPPING
                refusal(stopping().place(createSpec(2, short, nowMs = atMs), atMs)) shouldBe expected
            }
        }
    }

    test("`a request that arrives early in a stop is sent`") {
        stopping().place(createSpec(1, READS.copy(timeoutMs = 10_000), nowMs = 500), 500)
            .shouldBeInstanceOf<Placement.Send>()
    }

    test("`a request that may take until the end of the process isn't sent, even early in a stop`") {
        val steering = createSteering(createServer("s1"), createServer("s2"))
        val slow = READS.copy(timeoutMs = 20_000, targetLatencyMs = 20_000)
        repeat(30) {
            val spec = createSpec(it, slow)
            steering.recordOutcome(spec, steering.send(spec), AttemptReport(AttemptOutcome.ANSWERED, false, 4_000), 0)
        }
        steering.stopPlan = StopPlan(ACCEPT_UNTIL_MS, ENDS_AT_MS)
        refusal(steering.place(createSpec(99, slow, nowMs = 2_000), 2_000)) shouldBe RefusalReason.STOPPING
    }

    test("`a refused attempt isn't repeated late in a stop, and the caller learns that it wasn't executed`") {
        val steering = stopping()
        val spec = createSpec(1, BOOKINGS.copy(timeoutMs = 6_000), nowMs = 100)
        val first = steering.send(spec)
        val report = AttemptReport(AttemptOutcome.SHED, mayHaveRun = false, tookMs = 4_900)
        steering.completeAttempt(spec, listOf(first), report, 5_000).shouldBeInstanceOf<NextStep.Refuse>()
    }
})
