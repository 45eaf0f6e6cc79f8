/*
 * A backend server that announces in a response that it is leaving gets no further request of this instance, whatever
 * the store says about it and as long as it doesn't start again.
 */
package org.cardamomwharf.steering.servers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.store.TableChange
import org.cardamomwharf.steering.support.BOOKINGS
import org.cardamomwharf.steering.support.add
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createSpec
import org.cardamomwharf.steering.support.createSteering
import org.cardamomwharf.steering.support.send

private const val REQUESTS = 60
private const val INTERVAL_MS = 500L
private val leavingReport = ServerReport(isLeaving = true)
private val leaving = createServer("s1")
private val other = createServer("s2")

/** Sends requests one after the other and returns their placements. */
private fun Steering.sendMany(fromMs: Long): List<Placement.Send> = (1..REQUESTS).map { number ->
    val nowMs = fromMs + number * INTERVAL_MS
    val spec = createSpec(number, BOOKINGS, nowMs = nowMs)
    send(spec).also {
        completeAttempt(spec, listOf(it), AttemptReport(AttemptOutcome.ANSWERED, false, 100), nowMs + 100)
    }
}

private fun Steering.serversUsed(fromMs: Long): Set<String> = sendMany(fromMs).mapTo(HashSet()) { it.server.value }

/** Returns steering with two servers, after a response of the first one that says that it is leaving. */
private fun createInformed(): Steering {
    val steering = createSteering(leaving, other)
    val sent = steering.sendMany(0).first { it.server == leaving.name }
    steering.recordServerReport(sent, leavingReport, 0).isLeaving shouldBe true
    steering.recordServerReport(sent, leavingReport, 0).isLeaving shouldBe false
    return steering
}

class LeavingServerTest : FunSpec({
    // Guards against requests to a leaving server that only the store could exclude, while the store is down.
    test("`a server that announces its leaving gets no further requests while the store says that it is ready`") {
        val steering = createInformed()
        steering.serversUsed(50_000) shouldBe setOf("s2")
        val changed = leaving.copy(coldRemainingMs = 5)
        steering.applyServers(listOf(TableChange("s1", 2, leaving, changed)), 0)
        steering.serversUsed(100_000) shouldBe setOf("s2")
    }

    // Guards against an entry that lapses and comes back, or is in the copy that a restored store begins with.
    test("`an entry that is removed and comes back with the same start doesn't make the server eligible`") {
        val steering = createInformed()
        steering.applyServers(listOf(TableChange("s1", 2, leaving, null)), 0)
        steering.add(leaving)
        steering.serversUsed(100_000) shouldBe setOf("s2")
    }

    // Guards against the copy that a restored store begins with, from before the latest start of the server.
    test("`an entry with an earlier start doesn't make the server eligible`") {
        val latest = leaving.copy(startedAtUnixMs = 5)
        val steering = createSteering(latest, other)
        steering.servers.markLeaving(latest.name, latest.startedAtUnixMs)
        steering.applyServers(listOf(TableChange("s1", 2, latest, leaving)), 0)
        steering.serversUsed(100_000) shouldBe setOf("s2")
    }

    test("`a server that starts again under its name is eligible, and so is another one at its address`") {
        val restarted = createInformed()
        restarted.applyServers(listOf(TableChange("s1", 2, leaving, leaving.copy(startedAtUnixMs = 2))), 0)
        restarted.serversUsed(100_000) shouldContain "s1"
        val reused = createInformed()
        reused.applyServers(listOf(TableChange("s1", 2, leaving, null)), 0)
        reused.add(createServer("s3").copy(startedAtUnixMs = 2))
        reused.serversUsed(100_000) shouldContain "s3"
    }

    // Guards against an instance that reads the response of an ended server after it has learnt of the next start.
    test("`a late response of an earlier start doesn't exclude the server`") {
        val steering = createSteering(leaving)
        val sent = steering.sendMany(0).first()
        steering.applyServers(listOf(TableChange("s1", 2, leaving, leaving.copy(startedAtUnixMs = 2))), 0)
        steering.recordServerReport(sent, leavingReport, 10)
        steering.serversUsed(100_000) shouldBe setOf("s1")
    }

    test("`a request that a leaving server refuses is sent to another server`") {
        val steering = createSteering(leaving, other)
        val spec = createSpec(1)
        val sent = steering.send(spec)
        steering.recordServerReport(sent, leavingReport, 10)
        val shed = AttemptReport(AttemptOutcome.SHED, false, 10)
        val next = steering.completeAttempt(spec, listOf(sent), shed, 10).shouldBeInstanceOf<NextStep.Retry>()
        setOf(next.placement.server, sent.server) shouldBe setOf(leaving.name, other.name)
    }

    test("`requests are refused at once when all servers are leaving`") {
        val steering = createSteering(leaving, other)
        listOf(leaving, other).forEach { steering.servers.markLeaving(it.name, it.startedAtUnixMs) shouldBe true }
        steering.place(createSpec(1), 0).shouldBeInstanceOf<Placement.Refuse>().reason shouldBe RefusalReason.NO_SERVER
    }

    test("`servers without a start time are forgotten when they are removed`") {
        val unknown = leaving.copy(startedAtUnixMs = 0)
        val steering = createSteering(unknown)
        steering.servers.markLeaving(ServerName("s1"), 0)
        steering.applyServers(listOf(TableChange("s1", 2, unknown, null)), 0)
        steering.add(unknown)
        steering.serversUsed(100_000) shouldBe setOf("s1")
    }
})
