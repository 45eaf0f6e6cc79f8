/*
 * Verifies hand-overs on connections that go silent, truncate a response or duplicate it.
 */
package org.cardamomwharf.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.standin.network.RelayFault

class PeerConnectionTest : FunSpec({
    test("`a hand-over on a silent connection is reported as lost and the next one gets a new connection`") {
        PeerPair().use { pair ->
            val first = pair.handOver("first")
            eventually("the first has a response") { pair.getResponses(first) == listOf("/first") }
            pair.relay.stallConnections()
            val second = pair.handOver("second")
            eventually("the second has failed") { pair.log.hasFailed(second) }
            pair.log.failures[second] shouldBe AttemptResult.Lost(Reason.CONNECTION_LOST)
            val third = pair.handOver("third")
            eventually("the third has a response") { pair.getResponses(third) == listOf("/third") }
            (pair.echo.runs[second] ?: 0) shouldBe 0
        }
    }

    test("`silent connections are replaced twice in a row`") {
        PeerPair().use { pair ->
            repeat(2) { round ->
                val before = pair.handOver("before-$round")
                eventually("a response before") { pair.getResponses(before).size == 1 }
                pair.relay.stallConnections()
                val lost = pair.handOver("lost-$round")
                eventually("lost") { pair.log.hasFailed(lost) }
                val after = pair.handOver("after-$round")
                eventually("a response after") { pair.getResponses(after).size == 1 }
            }
            pair.echo.runs.values.toSet() shouldBe setOf(1)
        }
    }

    test("`a hand-over to an unreachable instance is reported as lost or not sent and gets no response`") {
        PeerPair().use { pair ->
            pair.relay.changeFault(RelayFault.BLACKHOLE)
            val attempt = pair.handOver("cut")
            eventually("the hand-over has failed") { pair.log.hasFailed(attempt) }
            pair.getResponses(attempt) shouldBe emptyList()
            pair.echo.runs[attempt] shouldBe null
            pair.relay.changeFault(RelayFault.NONE)
            val next = pair.handOver("next")
            eventually("a response after the cut") { pair.getResponses(next) == listOf("/next") }
        }
    }

    test("`a hand-over with a truncated response is reported as lost`") {
        PeerPair().use { pair ->
            pair.relay.changeFault(RelayFault.TRUNCATING)
            val attempt = pair.handOver("half")
            eventually("the hand-over has failed") { pair.log.hasFailed(attempt) }
            pair.log.failures[attempt] shouldBe AttemptResult.Lost(Reason.CONNECTION_LOST)
            pair.getResponses(attempt) shouldBe emptyList()
            pair.echo.runs[attempt] shouldBe 1
        }
    }

    test("`a duplicated response is accepted once and only for its own request`") {
        PeerPair().use { pair ->
            pair.relay.changeFault(RelayFault.DUPLICATING)
            val attempts = (1..20).map { number ->
                pair.handOver("twice-$number").also { attempt ->
                    eventually("a response has arrived") { pair.getResponses(attempt).isNotEmpty() }
                }
            }
            pair.relay.changeFault(RelayFault.NONE)
            val last = pair.handOver("last")
            eventually("the last has a response") { pair.getResponses(last).isNotEmpty() }
            (attempts + last).forEach { pair.getResponses(it) shouldBe listOf("/${it.value}") }
        }
    }
})
