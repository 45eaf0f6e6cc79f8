/*
 * Tests the placement of requests under typical load patterns, without network and in virtual time.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.store.TableChange
import org.cardamomwharf.steering.support.HOME
import org.cardamomwharf.steering.support.add
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createSpec
import org.cardamomwharf.steering.support.createSteering
import org.cardamomwharf.steering.support.send

class PlacementTest : FunSpec({
    test("`requests for one key go to one server while it has free slots`") {
        val steering = createSteering(createServer("s1"), createServer("s2"), createServer("s3"))
        val servers = (1..20).map { id ->
            val spec = createSpec(id, key = "same", nowMs = id * 1_000L)
            val sent = steering.send(spec)
            val report = AttemptReport(AttemptOutcome.ANSWERED, false, 150)
            steering.completeAttempt(spec, listOf(sent), report, id * 1_000L + 150)
            sent.server
        }
        servers.distinct().shouldHaveSize(1)
    }

    test("`a burst for one key spreads to another server before its requests wait too long`") {
        val steering = createSteering(createServer("s1", slots = 2), createServer("s2", slots = 2))
        val sent = (1..4).map { steering.send(createSpec(it, key = "same")) }
        sent.map { it.server }.distinct().shouldHaveSize(2)
    }

    test("`requests that no server can finish in time are refused immediately with a retry delay`") {
        val steering = createSteering(createServer("s1", slots = 1))
        val placements = (1..10).map { steering.place(createSpec(it), 0) }
        placements.filterIsInstance<Placement.Refuse>().size shouldBeGreaterThan 5
        placements.last().shouldBeInstanceOf<Placement.Refuse>().retryAfterMs.toInt() shouldBeGreaterThan 0
    }

    test("`a burst on a cold server stays within its rate limit`") {
        val steering = createSteering()
        steering.add(createServer("s1").copy(coldRemainingMs = 3_000))
        val sent = (0L until 1_000L step 10).count {
            steering.place(
                createSpec(it.toInt(), nowMs = it),
                it
            ) is Placement.Send
        }
        sent shouldBeLessThanOrEqual 10
    }

    test("`a draining server gets no more requests, even as the first choice`") {
        val steering = createSteering(createServer("s1"), createServer("s2"))
        val chosen = steering.send(createSpec(1, key = "same")).server
        val before = createServer(chosen.value)
        steering.applyServers(listOf(TableChange(chosen.value, 2, before, before.copy(isDraining = true))), 10)
        val later = (2..5).map { steering.send(createSpec(it, key = "same", nowMs = 20)).server }
        later.all { it != chosen } shouldBe true
    }

    test("`an evacuated zone gets no requests, and its servers are cold afterwards`") {
        val steering = createSteering(createServer("s1"), createServer("s2", ZoneName("a2")))
        steering.evacuate(setOf(HOME), 0)
        (1..4).map { steering.send(createSpec(it)).server }.distinct() shouldBe listOf(ServerName("s2"))
        steering.evacuate(emptySet(), 100)
        steering.servers.find(ServerName("s1"))?.isCold(200) shouldBe true
    }

    test("`a region with too few servers spills over no faster than the allowed shift`") {
        val far = (1..5).map { createServer("far$it", ZoneName("b1"), slots = 8) }
        val steering = createSteering(createServer("near", slots = 8), *far.toTypedArray())
        val shares = (0 until 5).map { window ->
            val sent = (0 until 200).map { number ->
                val nowMs = window * 2_000L + number * 10L
                if (number % 20 == 0) steering.adjustSpillover(nowMs)
                val spec = createSpec(number, nowMs = nowMs, key = "k${number % 20}")
                steering.place(spec, nowMs).also {
                    if (it is Placement.Send) {
                        steering.completeAttempt(
                            spec,
                            listOf(it),
                            AttemptReport(AttemptOutcome.ANSWERED, false, 100),
                            nowMs
                        )
                    }
                }
            }.filterIsInstance<Placement.Send>()
            sent.count { it.server.value.startsWith("far") }.toDouble() / sent.size
        }
        shares.zipWithNext { before, after -> kotlin.math.abs(after - before) }.max() shouldBeLessThan 0.15
    }

    test("`a region that had no server for a while spills over as before when its servers return`") {
        val far = (1..5).map { createServer("far$it", ZoneName("b1"), slots = 8) }
        val steering = createSteering(createServer("near", slots = 8), *far.toTypedArray())
        fun sendAndComplete(id: Int): ServerName {
            val spec = createSpec(id, nowMs = id * 100L)
            val sent = steering.send(spec)
            val report = AttemptReport(AttemptOutcome.ANSWERED, false, 80)
            steering.completeAttempt(spec, listOf(sent), report, id * 100L + 80)
            return sent.server
        }
        (1..10).forEach { sendAndComplete(it) }
        steering.evacuate(setOf(HOME), 1_050)
        (11..60).forEach { sendAndComplete(it) }
        steering.evacuate(emptySet(), 6_050)
        (100..120).map { sendAndComplete(it) }.count { it.value.startsWith("far") } shouldBeGreaterThan 5
    }

    test("`a region that had no server for a while keeps its requests when its servers return`") {
        val zones = listOf(HOME, ZoneName("a2"), ZoneName("b1"), ZoneName("c1"))
        val servers = zones.flatMap { zone -> (1..2).map { createServer("${zone.value}-$it", zone, slots = 8) } }
        val steering = createSteering(*servers.toTypedArray())
        fun sendAndComplete(id: Int): ServerName {
            val nowMs = id * 100L
            steering.adjustSpillover(nowMs)
            val spec = createSpec(id, nowMs = nowMs)
            val sent = steering.send(spec)
            steering.completeAttempt(spec, listOf(sent), AttemptReport(AttemptOutcome.ANSWERED, false, 80), nowMs + 80)
            return sent.server
        }
        (1..10).forEach { sendAndComplete(it) }
        steering.evacuate(setOf(HOME, ZoneName("a2")), 1_050)
        (11..110).forEach { sendAndComplete(it) }
        steering.evacuate(emptySet(), 11_050)
        (150..170).map { sendAndComplete(it) }.count { !it.value.startsWith("a") } shouldBe 0
    }

    test("`a new server gets a request soon`") {
        val steering = createSteering(createServer("s1"), createServer("s2"))
        (1..3).forEach { steering.send(createSpec(it)) }
        steering.add(createServer("s3"))
        val sent = (11..13).map { steering.send(createSpec(it, nowMs = 1_000)).server }
        sent shouldContain ServerName("s3")
    }

    test("`a split route keeps its weights in every short sequence of requests`") {
        val split = WeightedRoundRobin(
            listOf(WeightedService(ServiceName("x"), 90.0), WeightedService(ServiceName("y"), 10.0))
        )
        val chosen = (1..300).map { split.next().value }
        chosen.windowed(20).all { run -> run.count { it == "y" } in 1..3 } shouldBe true
    }

    test("`an unreachable server is ejected, then gets one request at a time`") {
        val steering = createSteering(createServer("s1"))
        val spec = createSpec(1)
        val sent = steering.send(spec)
        steering.completeAttempt(spec, listOf(sent), AttemptReport(AttemptOutcome.NOT_SENT, false, 1), 1)
        steering.place(createSpec(2), 10).shouldBeInstanceOf<Placement.Refuse>()
        steering.place(createSpec(3, nowMs = 1_000), 1_000).shouldBeInstanceOf<Placement.Send>()
        steering.place(createSpec(4, nowMs = 1_001), 1_001).shouldBeInstanceOf<Placement.Refuse>()
    }
})
