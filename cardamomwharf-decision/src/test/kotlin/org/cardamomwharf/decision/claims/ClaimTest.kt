/*
 * Tests the claim of a booking: lost replies, keys in use, an outage of the table service, and bindings.
 */
package org.cardamomwharf.decision.claims

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.decision.support.BOOKINGS
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.only
import org.cardamomwharf.decision.support.readyEntry

class ClaimTest : FunSpec({
    val recorded = RecordedResponse(201, "text/plain", "")

    fun EntryHarness.reply(id: Long, reply: ClaimReply): List<EntryEffect> =
        handle(EntryEvent.ClaimReplyReceived(RequestId(id), reply))

    fun rowOf(attempt: AttemptId, state: ClaimState, fingerprint: String = "print", answer: RecordedResponse? = null) =
        ClaimReply.Exists(ClaimRow(attempt, fingerprint, state, answer), "v1")

    test("`a booking is forwarded only after its claim has been written`") {
        val entry = readyEntry()
        val effects = entry.submit(createRequest(1, BOOKINGS))
        effects.filterIsInstance<EntryEffect.Forward>().shouldBeEmpty()
        effects.only<EntryEffect.InsertClaim>()
        entry.reply(1, ClaimReply.Written).only<EntryEffect.Forward>()
    }

    test("`after a lost reply the row is read back`") {
        val entry = readyEntry()
        val attempt = entry.submit(createRequest(1, BOOKINGS)).only<EntryEffect.InsertClaim>().attempt
        entry.reply(1, ClaimReply.Lost).only<EntryEffect.ReadClaim>()
        entry.reply(1, rowOf(attempt, ClaimState.CLAIMED)).only<EntryEffect.Forward>()
    }

    test("`a lost insert that did not take effect is repeated with the same attempt`") {
        val entry = readyEntry()
        val attempt = entry.submit(createRequest(1, BOOKINGS)).only<EntryEffect.InsertClaim>().attempt
        entry.reply(1, ClaimReply.Lost)
        entry.reply(1, ClaimReply.Absent).only<EntryEffect.InsertClaim>().attempt shouldBe attempt
    }

    test("`a key that another attempt claimed is read again, and claimed as soon as that attempt releases it`") {
        val entry = readyEntry()
        entry.submit(createRequest(1, BOOKINGS))
        entry.reply(1, rowOf(AttemptId("other"), ClaimState.CLAIMED)).shouldBeEmpty()
        entry.advance(100).only<EntryEffect.ReadClaim>()
        entry.reply(1, rowOf(AttemptId("other"), ClaimState.RELEASED)).only<EntryEffect.ReplaceClaim>()
    }

    test("`a key that another attempt holds is never run`") {
        val entry = readyEntry()
        entry.submit(createRequest(1, BOOKINGS))
        val held = rowOf(AttemptId("other"), ClaimState.CLAIMED)
        repeat(MAX_CLAIM_CALLS - 1) {
            entry.reply(1, held).shouldBeEmpty()
            entry.advance(600).only<EntryEffect.ReadClaim>()
        }
        val effects = entry.reply(1, held)
        effects.only<EntryEffect.Respond>().reason shouldBe Reason.KEY_IN_PROGRESS
        effects.filterIsInstance<EntryEffect.ReleaseClaim>().shouldBeEmpty()
    }

    test("`a key that ran yields its recorded response, and is refused with another body`") {
        val entry = readyEntry()
        entry.submit(createRequest(1, BOOKINGS))
        val done = rowOf(AttemptId("other"), ClaimState.DONE, answer = recorded)
        entry.reply(1, done).only<EntryEffect.Respond>().recorded shouldBe recorded
        entry.submit(createRequest(2, BOOKINGS).copy(fingerprint = "another"))
        entry.reply(2, done).only<EntryEffect.Respond>().reason shouldBe Reason.KEY_REUSED
    }

    test("`a released key may be claimed again`") {
        val entry = readyEntry()
        entry.submit(createRequest(1, BOOKINGS))
        val replace = entry.reply(1, rowOf(AttemptId("other"), ClaimState.RELEASED)).only<EntryEffect.ReplaceClaim>()
        replace.rowVersion shouldBe "v1"
    }

    test("`during an outage a booking is refused as not run and offered a binding`") {
        val entry = readyEntry()
        entry.submit(createRequest(1, BOOKINGS))
        val effects = entry.reply(1, ClaimReply.Unavailable)
        val response = effects.only<EntryEffect.Respond>()
        response.reason shouldBe Reason.STORE_UNAVAILABLE
        response.offeredBinding?.incarnation shouldBe entry.member.incarnation
        effects.only<EntryEffect.ReleaseClaim>()
    }

    test("`a bound booking runs once and repeats its response`") {
        val entry = readyEntry()
        val binding = Binding(entry.member.incarnation, entry.nowMs)
        entry.submit(createRequest(1, BOOKINGS, key = "k", binding = binding))
        val forward = entry.reply(1, ClaimReply.Unavailable).only<EntryEffect.Forward>()
        entry.submit(createRequest(2, BOOKINGS, key = "k", binding = binding))
            .only<EntryEffect.Respond>().reason shouldBe Reason.KEY_IN_PROGRESS
        entry.handle(EntryEvent.AttemptEnded(forward.attempt, AttemptResult.Completed(recorded)))
        entry.submit(createRequest(3, BOOKINGS, key = "k", binding = binding))
            .only<EntryEffect.Respond>().recorded shouldBe recorded
    }

    test("`bindings to another incarnation and expired bindings are refused with their reasons`") {
        val entry = readyEntry()
        val other = Binding(Incarnation(8), entry.nowMs)
        entry.submit(createRequest(1, BOOKINGS, binding = other)).only<EntryEffect.Respond>().reason shouldBe
            Reason.BINDING_ELSEWHERE
        val old = Binding(entry.member.incarnation, entry.nowMs - 600_000)
        entry.submit(createRequest(2, BOOKINGS, binding = old)).only<EntryEffect.Respond>().reason shouldBe
            Reason.BINDING_EXPIRED
    }

    test("`after several failures only one request at a time calls the table service`") {
        val entry = readyEntry()
        (1L..3L).forEach {
            entry.submit(createRequest(it, BOOKINGS))
            entry.reply(it, ClaimReply.Unavailable)
        }
        entry.submit(createRequest(4, BOOKINGS)).only<EntryEffect.Respond>().reason shouldBe Reason.STORE_UNAVAILABLE
        entry.nowMs += 1_000
        entry.submit(createRequest(5, BOOKINGS)).only<EntryEffect.InsertClaim>()
        entry.submit(createRequest(6, BOOKINGS)).only<EntryEffect.Respond>().reason shouldBe Reason.STORE_UNAVAILABLE
    }

    test("`the response is recorded once the booking has run`") {
        val entry = readyEntry()
        entry.submit(createRequest(1, BOOKINGS))
        val forward = entry.reply(1, ClaimReply.Written).only<EntryEffect.Forward>()
        val effects = entry.handle(EntryEvent.AttemptEnded(forward.attempt, AttemptResult.Completed(recorded)))
        effects.only<EntryEffect.RecordResponse>().response shouldBe recorded
        effects.filterIsInstance<EntryEffect.Respond>() shouldHaveSize 1
    }
})
