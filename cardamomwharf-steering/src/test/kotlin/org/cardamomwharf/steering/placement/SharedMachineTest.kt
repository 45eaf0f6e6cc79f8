/*
 * Tests the placement on servers whose machines run other work, which slows requests down for a fraction of a second
 * and which the servers report.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.servers.LoadReport
import org.cardamomwharf.steering.servers.ServerReport
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createSpec
import org.cardamomwharf.steering.support.createSteering
import org.cardamomwharf.steering.support.send

private const val SLOWDOWN = 2.5
private const val COLD_MS = 480L
private const val SLOTS = 4

private fun Steering.complete(id: Int, sent: Placement.Send, tookMs: Long, slowdown: Double?, endMs: Long) {
    recordServerReport(sent, ServerReport(LoadReport(0, 0, SLOTS, slowdown)), endMs)
    val spec = createSpec(id, key = "same", nowMs = endMs - tookMs)
    completeAttempt(spec, listOf(sent), AttemptReport(AttemptOutcome.ANSWERED, false, tookMs), endMs)
}

private fun Steering.healthOf(name: ServerName) = checkNotNull(servers.find(name)).health

private fun Steering.predictedMs(id: Int, nowMs: Long): Double =
    (place(createSpec(id, key = "other$id", nowMs = nowMs), nowMs) as Placement.Send).predictedMs

class SharedMachineTest : FunSpec({
    // Pattern: a machine that is slow for 15 % of the time, in periods of 600 ms.
    test("`requests go to another server while other work slows the first choice down, and return soon`") {
        val steering = createSteering(createServer("s1"), createServer("s2"))
        val first = steering.send(createSpec(1, key = "same"))
        val others = (2..50).filter { id ->
            val unused = createSteering(createServer("s1"), createServer("s2"))
            unused.send(createSpec(id)).server == first.server
        }
        steering.complete(1, first, COLD_MS, SLOWDOWN, endMs = 500)
        steering.send(createSpec(others[0], nowMs = 510)).server shouldNotBe first.server
        steering.send(createSpec(others[1], nowMs = 1_500)).server shouldBe first.server
    }

    test("`a slow response that the reported slowdown explains doesn't make the server slow or the route's requests`") {
        val steering = createSteering(createServer("s1"))
        repeat(20) { number ->
            val nowMs = number * 2_000L
            val sent = steering.send(createSpec(number, key = "same", nowMs = nowMs))
            val tookMs = (COLD_MS * SLOWDOWN).toLong()
            steering.complete(number, sent, tookMs, SLOWDOWN, nowMs + tookMs)
        }
        steering.healthOf(ServerName("s1")).slowness(39_300) shouldBe (1.0 plusOrMinus 0.05)
        steering.predictedMs(100, 45_000) shouldBeLessThan COLD_MS.toDouble()
    }

    test("`a server that is slower than the reported slowdown explains counts as slow`") {
        val steering = createSteering(createServer("s1"))
        val sent = steering.send(createSpec(1, key = "same"))
        steering.complete(1, sent, (COLD_MS * SLOWDOWN * 4).toLong(), SLOWDOWN, endMs = 4_800)
        steering.healthOf(ServerName("s1")).slowness(4_800) shouldBeGreaterThan 1.2
    }

    test("`a server that reports no slowdown learns from slow responses as before`") {
        val steering = createSteering(createServer("s1"))
        val sent = steering.send(createSpec(1, key = "same"))
        steering.complete(1, sent, (COLD_MS * SLOWDOWN).toLong(), slowdown = null, endMs = 1_200)
        steering.healthOf(ServerName("s1")).slowness(1_200) shouldBeGreaterThan 1.1
    }

    test("`a reported slowdown alone makes no server unavailable`") {
        val steering = createSteering(createServer("s1"))
        val sent = steering.send(createSpec(1, key = "same"))
        steering.complete(1, sent, COLD_MS, slowdown = 20.0, endMs = 500)
        val spec = createSpec(2, nowMs = 1_700)
        (steering.place(spec, 1_700) is Placement.Send) shouldBe true
    }
})
