/*
 * Verifies that a backend server gets no new requests once any single signal reports it as leaving, whatever the
 * others report.
 */
package org.cardamomwharf.decision.servers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.createListedInstance
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.createServers
import org.cardamomwharf.decision.support.only
import org.cardamomwharf.decision.support.readyEntry

private val leaving = ServerName("reads-north-a-1")
private const val REQUESTS = 40L

private fun EntryHarness.readList(isLeavingMarked: Boolean) {
    val servers = createServers(NORTH_A).map { if (it.name == leaving) it.copy(isLeaving = isLeavingMarked) else it }
    handle(EntryEvent.PlatformListRead(listOf(createListedInstance(member)), servers))
}

private fun EntryHarness.reportLoad(isLeaving: Boolean) =
    handle(EntryEvent.LoadReported(leaving, LoadReport(inFlight = 0, isLeaving = isLeaving)))

/** Sends a request to the leaving server, and completes it with [result]. */
private fun EntryHarness.completeRequest(result: AttemptResult) {
    val forwards = (1_000L..1_007L).flatMap { submit(createRequest(it)).filterIsInstance<EntryEffect.Forward>() }
    val forward = forwards.first { it.server == leaving }
    handle(EntryEvent.AttemptEnded(forward.attempt, result))
    (forwards - forward).forEach { handle(EntryEvent.AttemptEnded(it.attempt, AttemptResult.Completed(null))) }
    advance(100)
}

/** Resets all other signals to not leaving, then sends requests and counts those that the server gets. */
private fun EntryHarness.countNewRequests(): Int {
    readList(isLeavingMarked = false)
    reportLoad(isLeaving = false)
    runFor(10_000)
    effects.clear()
    for (id in 1..REQUESTS) {
        val forward = submit(createRequest(id, deadlineAtMs = nowMs + 60_000)).only<EntryEffect.Forward>()
        handle(EntryEvent.AttemptEnded(forward.attempt, AttemptResult.Completed(null)))
        reportLoad(isLeaving = false)
        advance(20)
    }
    return effects.filterIsInstance<EntryEffect.Forward>().count { it.server == leaving }
}

class LeavingServerTest : FunSpec({
    test("`a server that isn't leaving gets requests`") {
        (readyEntry().countNewRequests() > 0) shouldBe true
    }

    test("`a server marked as leaving in the instance list gets no new requests`") {
        val entry = readyEntry()
        entry.readList(isLeavingMarked = true)
        entry.countNewRequests() shouldBe 0
    }

    test("`a server marked as leaving in its load report gets no new requests`") {
        val entry = readyEntry()
        entry.reportLoad(isLeaving = true)
        entry.countNewRequests() shouldBe 0
    }

    test("`a server marked as leaving in a response gets no new requests`") {
        val entry = readyEntry()
        entry.completeRequest(AttemptResult.Completed(null, isServerLeaving = true))
        entry.countNewRequests() shouldBe 0
    }

    test("`a server marked as leaving in a refusal gets no new requests, and the refused one is retried elsewhere`") {
        val entry = readyEntry()
        entry.completeRequest(AttemptResult.Refused(Reason.SERVER_REFUSED, retryAfterMs = 0, isServerLeaving = true))
        val forwarded = entry.effects.filterIsInstance<EntryEffect.Forward>()
        val refused = forwarded.first { it.server == leaving }.request
        forwarded.last { it.request == refused }.server shouldBe ServerName("reads-north-a-2")
        entry.countNewRequests() shouldBe 0
    }

    test("`a server that is no longer listed gets no new requests and completes the running ones`") {
        val entry = readyEntry()
        val forwards = (1L..8L).map { entry.submit(createRequest(it)).only<EntryEffect.Forward>() }
        val running = forwards.first { it.server == leaving }
        val others = createServers(NORTH_A).filter { it.name != leaving }
        entry.handle(EntryEvent.PlatformListRead(listOf(createListedInstance(entry.member)), others))
        (forwards - running).forEach {
            entry.handle(EntryEvent.AttemptEnded(it.attempt, AttemptResult.Completed(null)))
        }
        entry.effects.clear()
        (11L..14L).forEach {
            entry.submit(createRequest(it)).only<EntryEffect.Forward>().server shouldBe others[0].name
        }
        entry.handle(EntryEvent.AttemptEnded(running.attempt, AttemptResult.Completed(null)))
        entry.findResponse(running.request.value)?.reason shouldBe Reason.ANSWERED
        entry.state.requests.open.containsKey(RequestId(running.request.value)) shouldBe false
    }
})
