/*
 * Tests which requests are retried after an attempt, and the final response to the caller.
 */
package org.cardamomwharf.decision.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.support.BOOKINGS
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.only
import org.cardamomwharf.decision.support.readyEntry

class RetryTest : FunSpec({
    fun EntryHarness.book(id: Long): EntryEffect.Forward {
        submit(createRequest(id, BOOKINGS))
        return handle(EntryEvent.ClaimReplyReceived(RequestId(id), ClaimReply.Written)).only()
    }

    test("`a read whose response was lost is retried at another server`") {
        val entry = readyEntry()
        val first = entry.submit(createRequest(1)).only<EntryEffect.Forward>()
        val lost = AttemptResult.Lost(Reason.CONNECTION_LOST)
        val second = entry.handle(EntryEvent.AttemptEnded(first.attempt, lost)).only<EntryEffect.Forward>()
        second.server shouldNotBe first.server
    }

    test("`a read whose response was lost once is never reported as not run`") {
        val entry = readyEntry()
        val first = entry.submit(createRequest(1)).only<EntryEffect.Forward>()
        val lost = AttemptResult.Lost(Reason.CONNECTION_LOST)
        val second = entry.handle(EntryEvent.AttemptEnded(first.attempt, lost)).only<EntryEffect.Forward>()
        val refused = AttemptResult.NotSent(Reason.SERVER_UNREACHABLE)
        val end = entry.handle(EntryEvent.AttemptEnded(second.attempt, refused)).only<EntryEffect.Respond>()
        end.reason.outcome shouldBe Outcome.UNKNOWN
    }

    test("`a booking whose response was lost is never retried`") {
        val entry = readyEntry()
        val forward = entry.book(1)
        forward.isFreshConnection shouldBe true
        val effects =
            entry.handle(EntryEvent.AttemptEnded(forward.attempt, AttemptResult.Lost(Reason.CONNECTION_LOST)))
        effects.filterIsInstance<EntryEffect.Forward>().shouldBeEmpty()
        effects.only<EntryEffect.Respond>().reason.outcome shouldBe Outcome.UNKNOWN
        effects.filterIsInstance<EntryEffect.ReleaseClaim>().shouldBeEmpty()
    }

    test("`a booking that two servers refuse ends as not run and releases its key`") {
        val entry = readyEntry()
        val first = entry.book(1)
        val refused = AttemptResult.Refused(Reason.SERVER_REFUSED, retryAfterMs = 1_000)
        val second = entry.handle(EntryEvent.AttemptEnded(first.attempt, refused)).only<EntryEffect.Forward>()
        second.server shouldNotBe first.server
        val effects = entry.handle(EntryEvent.AttemptEnded(second.attempt, refused))
        effects.only<EntryEffect.Respond>().reason.outcome shouldBe Outcome.NOT_RUN
        effects.filterIsInstance<EntryEffect.ReleaseClaim>() shouldHaveSize 1
    }

    test("`reads are no longer retried when the retry budget is empty`") {
        val entry = readyEntry()
        val lost = AttemptResult.Lost(Reason.CONNECTION_LOST)
        val retries = (1L..100L).sumOf { id ->
            entry.runFor(10_000)
            val spec = createRequest(id, deadlineAtMs = entry.nowMs + 5_000)
            val forward = entry.submit(spec).only<EntryEffect.Forward>()
            val again = entry.handle(EntryEvent.AttemptEnded(forward.attempt, lost))
            val second = again.filterIsInstance<EntryEffect.Forward>()
            second.forEach { entry.handle(EntryEvent.AttemptEnded(it.attempt, lost)) }
            second.size
        }
        val creditsInTwentyRetriesAndNinetyNineRequests = 20 * 100 + 99 * 10
        retries shouldBe creditsInTwentyRetriesAndNinetyNineRequests / 100
        entry.effects.filterIsInstance<EntryEffect.CountRetry>().last().reason shouldBe Reason.RETRY_BUDGET_EMPTY
    }

    test("`a result that arrives after the final response only frees the slot`") {
        val entry = readyEntry()
        val forward = entry.submit(createRequest(1, deadlineAtMs = entry.nowMs + 100)).only<EntryEffect.Forward>()
        entry.advance(100)
        val effects = entry.handle(EntryEvent.AttemptEnded(forward.attempt, AttemptResult.Completed()))
        effects.filterIsInstance<EntryEffect.Respond>().shouldBeEmpty()
        entry.state.requests.attempts.size shouldBe 0
        entry.state.servers.servers.getValue(forward.server).inFlight shouldBe 0
    }
})
