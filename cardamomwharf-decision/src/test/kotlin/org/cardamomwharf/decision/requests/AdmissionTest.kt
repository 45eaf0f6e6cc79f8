/*
 * Tests which requests are refused on arrival, and the reason that the refusal reports.
 */
package org.cardamomwharf.decision.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.support.BOOKINGS
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.START_MS
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.only
import org.cardamomwharf.decision.support.readyEntry
import org.cardamomwharf.decision.support.sampleDocument

class AdmissionTest : FunSpec({
    test("`an instance without a document refuses requests as not run and sends a retry delay`") {
        val entry = EntryHarness()
        val response = entry.submit(createRequest(1)).only<EntryEffect.Respond>()
        response.reason shouldBe Reason.NO_DOCUMENT
        response.reason.outcome shouldBe Outcome.NOT_RUN
        response.retryAfterMs shouldBe 1_000
    }

    test("`requests with an unknown service, a missing key or a deadline that can't be met are refused`") {
        val entry = readyEntry()
        val unknown = createRequest(1).copy(service = ServiceName("nowhere"))
        entry.submit(unknown).only<EntryEffect.Respond>().reason shouldBe Reason.UNKNOWN_SERVICE
        val keyless = createRequest(2, BOOKINGS, key = null)
        entry.submit(keyless).only<EntryEffect.Respond>().reason shouldBe Reason.KEY_MISSING
        val late = createRequest(3, deadlineAtMs = entry.nowMs + 5)
        entry.submit(late).only<EntryEffect.Respond>().reason shouldBe Reason.DEADLINE_TOO_SHORT
    }

    test("`a read is sent at once to a server with a free slot`") {
        val entry = readyEntry()
        val forward = entry.submit(createRequest(1)).only<EntryEffect.Forward>()
        forward.isFreshConnection shouldBe false
    }

    test("`when all slots are taken a read waits, unless it can't finish before its deadline`") {
        val entry = readyEntry()
        (1L..8L).forEach { entry.submit(createRequest(it)).only<EntryEffect.Forward>() }
        entry.submit(createRequest(9)).shouldBeEmpty()
        val hurried = createRequest(10, deadlineAtMs = entry.nowMs + 11)
        entry.submit(hurried).only<EntryEffect.Respond>().reason shouldBe Reason.NO_SLOT
    }

    test("`a slot that becomes free goes to the request that has waited longest`") {
        val entry = readyEntry()
        val first = (1L..8L).map { entry.submit(createRequest(it)).only<EntryEffect.Forward>() }.first()
        entry.submit(createRequest(9))
        entry.submit(createRequest(10))
        val effects = entry.handle(EntryEvent.AttemptEnded(first.attempt, AttemptResult.Completed()))
        effects.only<EntryEffect.Forward>().request.value shouldBe 9
    }

    test("`the last fifth of the open requests is reserved for bookings`") {
        val entry = readyEntry(sampleDocument(slots = 50), EntryLimits(largestOpenRequests = 10))
        (1L..8L).forEach { entry.submit(createRequest(it)).only<EntryEffect.Forward>() }
        entry.submit(createRequest(9)).only<EntryEffect.Respond>().reason shouldBe Reason.BUSY
        entry.submit(createRequest(10, BOOKINGS)).only<EntryEffect.InsertClaim>()
    }

    test("`a waiting request gets its final response when its deadline passes`") {
        val entry = readyEntry()
        (1L..8L).forEach { entry.submit(createRequest(it)) }
        entry.submit(createRequest(9, deadlineAtMs = entry.nowMs + 100))
        entry.advance(99)
        entry.findResponse(9) shouldBe null
        entry.advance(1)
        entry.findResponse(9)?.reason shouldBe Reason.DEADLINE_PASSED
    }

    test("`a request that runs past its deadline is cancelled and reported with an unknown outcome`") {
        val entry = readyEntry()
        val forward = entry.submit(createRequest(1, deadlineAtMs = entry.nowMs + 100)).only<EntryEffect.Forward>()
        val effects = entry.advance(100)
        effects.only<EntryEffect.Cancel>().attempt shouldBe forward.attempt
        effects.only<EntryEffect.Respond>().reason shouldBe Reason.DEADLINE_PASSED_RUNNING
    }

    test("`an instance that was paused beyond its lease owns no servers until it has joined again`") {
        val entry = readyEntry()
        entry.nowMs += 3_000
        entry.submit(createRequest(1, deadlineAtMs = START_MS + 90_000)).shouldBeEmpty()
        entry.runFor(2_500).filterIsInstance<EntryEffect.Forward>().shouldBeEmpty()
        entry.runFor(1_000).only<EntryEffect.Forward>()
    }
})
