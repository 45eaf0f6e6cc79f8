/*
 * How many slots of a backend server are used while it is cold, and whatever its load report claims.
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
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.OneEntry
import org.cardamomwharf.decision.support.READS
import org.cardamomwharf.decision.support.listedOf
import org.cardamomwharf.decision.support.readyEntry
import org.cardamomwharf.decision.support.requestOf
import org.cardamomwharf.decision.support.sampleDocument
import org.cardamomwharf.decision.support.serversOf

private val fresh = ServerName("reads-north-a-3")
private val first = ServerName("reads-north-a-1")
private const val SLOTS = 4
private const val SLOW_START_MS = 8_000L

/** Returns the requests that the server gets when far more arrive than there are slots. */
private fun OneEntry.fill(server: ServerName): Int {
    val ids = (nowMs * 100 until nowMs * 100 + 20)
    val sent = ids.flatMap { arrive(requestOf(it, deadlineAtMs = nowMs + 60_000)) }
        .filterIsInstance<EntryEffect.Forward>()
    sent.forEach { handle(EntryEvent.AttemptEnded(it.attempt, AttemptResult.Completed(null))) }
    return sent.count { it.server == server }
}

private fun OneEntry.load(): Int? = state.servers.servers[first]?.inFlight

class SlotUsageTest : FunSpec({
    test("`a server that is new gets one slot more for each part of the slow start`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS, policy = Policy(slowStartMs = SLOW_START_MS)))
        val added = serversOf(NORTH_A).first().copy(name = fresh, address = SocketAddress("127.0.2.9", 9_000))
        entry.handle(EntryEvent.PlatformListRead(listOf(listedOf(entry.member)), serversOf(NORTH_A) + added))
        val slots = (1..SLOTS).map { entry.view(fresh).also { entry.live(SLOW_START_MS / SLOTS) } }
        slots shouldBe listOf(1, 1, 2, 3)
        entry.view(fresh) shouldBe SLOTS
    }

    test("`a server whose owner changed isn't cold`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS, policy = Policy(slowStartMs = SLOW_START_MS)))
        entry.view(first) shouldBe SLOTS
    }

    test("`a report that claims no load doesn't let more in than there are slots`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS))
        (1L..40L).forEach {
            entry.handle(EntryEvent.LoadReported(first, LoadReport(inFlight = 0, isLeaving = false)))
            entry.arrive(requestOf(it))
        }
        entry.load() shouldBe SLOTS
    }

    test("`a report that claims full load leaves one slot, so that it can be proved wrong`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS))
        entry.handle(EntryEvent.LoadReported(first, LoadReport(inFlight = 1_000, isLeaving = false)))
        entry.view(first) shouldBe 1
    }

    test("`a report that is no longer renewed is forgotten`") {
        val entry = readyEntry(sampleDocument(slots = SLOTS))
        entry.handle(EntryEvent.LoadReported(first, LoadReport(inFlight = 3, isLeaving = false)))
        entry.view(first) shouldBe 1
        entry.live(Policy().measurementMaxAgeMs)
        entry.view(first) shouldBe SLOTS
        entry.fill(first) shouldBe SLOTS
    }
})

private fun OneEntry.view(server: ServerName): Int {
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
