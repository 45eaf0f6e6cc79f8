/*
 * The sessions of the golden files, as scripts that write the event files.
 */
package org.cardamomwharf.decision.session

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.RecordedResponse
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.decision.servers.LoadReport
import org.cardamomwharf.decision.support.BOOKINGS
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.START_MS
import org.cardamomwharf.decision.support.createListedInstance
import org.cardamomwharf.decision.support.createMember
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.createServers
import org.cardamomwharf.decision.support.sampleDocument

private val answered = AttemptResult.Completed(RecordedResponse(200, "text/plain", "aGVsbG8="))

val goldenSessions: Map<String, () -> List<TimedEvent>> = mapOf(
    "whole-life" to { Script().start().work().leave().events },
    "store-outage" to { Script().start().outage().events },
)

private class Script {
    val events = mutableListOf<TimedEvent>()
    private var nowMs = START_MS

    fun start(): Script = apply {
        say(EntryEvent.HeadRead(DocumentHead(DocumentVersion(1), "hash-1")))
        say(EntryEvent.DocumentFetched(DocumentHead(DocumentVersion(1), "hash-1"), sampleDocument()))
        say(EntryEvent.PlatformListRead(listOf(createListedInstance(createMember("e1"))), createServers(NORTH_A)))
        repeat(8) { tick() }
    }

    fun work(): Script = apply {
        say(EntryEvent.RequestArrived(createRequest(1, deadlineAtMs = nowMs + 1_000)))
        end(1, 1, AttemptResult.Lost(Reason.CONNECTION_LOST))
        end(1, 2, AttemptResult.Completed())
        say(EntryEvent.RequestArrived(createRequest(2, BOOKINGS, nowMs + 2_000)))
        say(EntryEvent.ClaimReplyReceived(RequestId(2), ClaimReply.Lost))
        say(EntryEvent.ClaimReplyReceived(RequestId(2), ClaimReply.Absent))
        say(EntryEvent.ClaimReplyReceived(RequestId(2), ClaimReply.Written))
        end(2, 1, AttemptResult.Refused(Reason.SERVER_REFUSED, 1_000, isServerLeaving = true))
        end(2, 2, answered)
        say(EntryEvent.LoadReported(createServers(NORTH_A).first().name, LoadReport(1, isLeaving = true)))
        tick()
    }

    fun outage(): Script = apply {
        say(EntryEvent.RequestArrived(createRequest(1, BOOKINGS, nowMs + 2_000)))
        say(EntryEvent.ClaimReplyReceived(RequestId(1), ClaimReply.Unavailable))
        val binding = Binding(createMember("e1").incarnation, nowMs)
        say(EntryEvent.RequestArrived(createRequest(2, BOOKINGS, nowMs + 2_000, key = "key-1", binding = binding)))
        say(EntryEvent.ClaimReplyReceived(RequestId(2), ClaimReply.Unavailable))
        end(2, 1, answered)
        say(EntryEvent.RequestArrived(createRequest(3, BOOKINGS, nowMs + 2_000, key = "key-1", binding = binding)))
        tick()
    }

    fun leave(): Script = apply {
        say(EntryEvent.RequestArrived(createRequest(3, deadlineAtMs = nowMs + 20_000)))
        say(EntryEvent.LeaveRequested)
        repeat(11) { tick() }
        say(EntryEvent.RequestArrived(createRequest(4, deadlineAtMs = nowMs + 1_000)))
        end(3, 1, AttemptResult.Completed())
        tick()
    }

    private fun end(request: Long, attempt: Int, result: AttemptResult) {
        say(EntryEvent.AttemptEnded(AttemptId("e1-7-$request-$attempt"), result))
    }

    private fun say(event: EntryEvent) {
        nowMs += 10
        events += TimedEvent(nowMs, event)
    }

    private fun tick() {
        nowMs += 490
        say(EntryEvent.Tick(nowMs / 1_000))
    }
}
