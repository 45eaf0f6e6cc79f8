/*
 * Tests responses that name no attempt, from backend servers that have named one before.
 */
package org.cardamomwharf.decision.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.only
import org.cardamomwharf.decision.support.readyEntry

private const val REQUESTS = 8L

/** Completes one request per slot, so that every server has named an attempt, or none has. */
private fun EntryHarness.serveAll(hasAttemptId: Boolean) {
    (1..REQUESTS).map { submit(createRequest(it)).only<EntryEffect.Forward>() }
        .forEach { handle(EntryEvent.AttemptEnded(it.attempt, AttemptResult.Completed(hasAttemptId = hasAttemptId))) }
    effects.clear()
}

class ResponseValidationTest : FunSpec({
    val unnamedResponses = listOf(AttemptResult.Completed(), AttemptResult.Refused(Reason.SERVER_REFUSED))

    test("`a response without an attempt from a server that names its attempts is not sent to the caller`") {
        unnamedResponses.forEach { unnamed ->
            val entry = readyEntry()
            entry.serveAll(hasAttemptId = true)
            val first = entry.submit(createRequest(20)).only<EntryEffect.Forward>()
            val second = entry.handle(EntryEvent.AttemptEnded(first.attempt, unnamed)).only<EntryEffect.Forward>()
            entry.responses().shouldBeEmpty()
            val end = entry.handle(EntryEvent.AttemptEnded(second.attempt, unnamed)).only<EntryEffect.Respond>()
            end.reason shouldBe Reason.ANSWER_CROSSED
        }
    }

    test("`responses of servers that never name an attempt are accepted`") {
        val entry = readyEntry()
        entry.serveAll(hasAttemptId = false)
        val forward = entry.submit(createRequest(20)).only<EntryEffect.Forward>()
        val effects = entry.handle(EntryEvent.AttemptEnded(forward.attempt, AttemptResult.Completed()))
        effects.only<EntryEffect.Respond>().reason shouldBe Reason.ANSWERED
    }
})
