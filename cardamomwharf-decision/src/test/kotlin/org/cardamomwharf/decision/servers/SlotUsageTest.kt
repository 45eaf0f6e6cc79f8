/*
 * Verifies how many slots of a backend server are used during its slow start and with wrong load reports.
 */
package org.cardamomwharf.decision.servers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.document.Policy
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.READS
import org.cardamomwharf.decision.support.createListedInstance
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.createServers
import org.cardamomwharf.decision.support.readyEntry
import org.cardamomwharf.decision.support.sampleDocument

private val fresh = ServerName("reads-north-a-3")
private val first = ServerName("reads-north-a-1")
private const val SLOTS = 4
private const val SLOW_START_MS = 8_000L

/** Returns the number of requests that [server] gets when more arrive than there are slots. */
private fun EntryHarness.countRequestsUnderLoad(server: ServerName): Int {
    val ids = (nowMs * 100 until nowMs * 100 + 20)
    val sent = ids.flatMap { submit(createRequest(it, deadlineAtMs = nowMs + 60_000)) }
        .filterIsInstance<EntryEffect.Forward>()
    sent.forEach { handle(EntryEvent.AttemptEnded(it.attempt, AttemptResult.Completed(null))) }
    return sent.count { it.server == server }
}

private fun EntryHarness.countInFlight(): Int? = state.servers.servers[first]?.inFlight

class SlotUsageTest : FunSpec({
    test("`a new server gets one slot more for each part of the slow start`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS, policy = Policy(slowStartMs = SLOW_START_MS)))
        val added = createServers(NORTH_A).first().copy(name = fresh, address = SocketAddress("127.0.2.9", 9_000))
        val listed = listOf(createListedInstance(entry.member))
        entry.handle(EntryEvent.PlatformListRead(listed, createServers(NORTH_A) + added))
        val slots = (1..SLOTS).map { entry.countFreeSlots(fresh).also { entry.runFor(SLOW_START_MS / SLOTS) } }
        slots shouldBe listOf(1, 1, 2, 3)
        entry.countFreeSlots(fresh) shouldBe SLOTS
    }

    test("`a server whose owner changed has no slow start`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS, policy = Policy(slowStartMs = SLOW_START_MS)))
        entry.countFreeSlots(first) shouldBe SLOTS
    }

    test("`a load report of zero doesn't permit more requests than there are slots`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS))
        (1L..40L).forEach {
            entry.handle(EntryEvent.LoadReported(first, LoadReport(inFlight = 0, isLeaving = false)))
            entry.submit(createRequest(it))
        }
        entry.countInFlight() shouldBe SLOTS
    }

    test("`a load report of full load leaves one slot, so that a wrong report can be detected`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS))
        entry.handle(EntryEvent.LoadReported(first, LoadReport(inFlight = 1_000, isLeaving = false)))
        entry.countFreeSlots(first) shouldBe 1
    }

    test("`an outdated load report is ignored`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS))
        entry.handle(EntryEvent.LoadReported(first, LoadReport(inFlight = 3, isLeaving = false)))
        entry.countFreeSlots(first) shouldBe 1
        entry.runFor(Policy().measurementMaxAgeMs)
        entry.countFreeSlots(first) shouldBe SLOTS
        entry.countRequestsUnderLoad(first) shouldBe SLOTS
    }
})

private fun EntryHarness.countFreeSlots(server: ServerName): Int {
    val index = requireNotNull(state.adoption.index)
    val view = PoolView(
        servers = state.servers.findServers(READS),
        owned = setOf(server),
        slotsPerUpstream = SLOTS,
        policy = index.document.policy,
        nowMs = nowMs,
    )
    return view.freeSlots
}
