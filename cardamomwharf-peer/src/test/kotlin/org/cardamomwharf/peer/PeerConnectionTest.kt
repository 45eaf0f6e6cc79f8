/*
 * Connections between instances that go silent, end in the middle of an answer or bring an answer twice.
 */
package org.cardamomwharf.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.standin.network.WireFault

class PeerConnectionTest : FunSpec({
    test("`a hand-over on a connection that went silent ends as lost and the next one gets a new connection`") {
        PeerPair().use { pair ->
            val first = pair.handOver("first")
            eventually("the first is answered") { pair.answersOf(first) == listOf("/first") }
            pair.relay.silence()
            val second = pair.handOver("second")
            eventually("the second has ended") { pair.log.hasEnded(second) }
            pair.log.ends[second] shouldBe AttemptResult.Lost(Reason.CONNECTION_LOST)
            val third = pair.handOver("third")
            eventually("the third is answered") { pair.answersOf(third) == listOf("/third") }
            (pair.echo.runs[second] ?: 0) shouldBe 0
        }
    }

    test("`a silent connection is replaced twice in a row`") {
        PeerPair().use { pair ->
            repeat(2) { round ->
                val before = pair.handOver("before-$round")
                eventually("answered before") { pair.answersOf(before).size == 1 }
                pair.relay.silence()
                val lost = pair.handOver("lost-$round")
                eventually("lost") { pair.log.hasEnded(lost) }
                val after = pair.handOver("after-$round")
                eventually("answered after") { pair.answersOf(after).size == 1 }
            }
            pair.echo.runs.values.toSet() shouldBe setOf(1)
        }
    }

    test("`a hand-over to an instance that is cut off is lost or not sent but never answered`") {
        PeerPair().use { pair ->
            pair.relay.change(WireFault.CUT)
            val attempt = pair.handOver("cut")
            eventually("it has ended") { pair.log.hasEnded(attempt) }
            pair.answersOf(attempt) shouldBe emptyList()
            pair.echo.runs[attempt] shouldBe null
            pair.relay.change(WireFault.NONE)
            val next = pair.handOver("next")
            eventually("answered after the cut") { pair.answersOf(next) == listOf("/next") }
        }
    }

    test("`an answer that ends in the middle counts as lost`") {
        PeerPair().use { pair ->
            pair.relay.change(WireFault.TRUNCATING)
            val attempt = pair.handOver("half")
            eventually("it has ended") { pair.log.hasEnded(attempt) }
            pair.log.ends[attempt] shouldBe AttemptResult.Lost(Reason.CONNECTION_LOST)
            pair.answersOf(attempt) shouldBe emptyList()
            pair.echo.runs[attempt] shouldBe 1
        }
    }

    test("`an answer that arrives twice is taken once and never for another request`") {
        PeerPair().use { pair ->
            pair.relay.change(WireFault.DUPLICATING)
            val attempts = (1..20).map { number ->
                pair.handOver("twice-$number").also { attempt ->
                    eventually("it is answered") { pair.answersOf(attempt).isNotEmpty() }
                }
            }
            pair.relay.change(WireFault.NONE)
            val last = pair.handOver("last")
            eventually("the last is answered") { pair.answersOf(last).isNotEmpty() }
            (attempts + last).forEach { pair.answersOf(it) shouldBe listOf("/${it.value}") }
        }
    }
})
