/*
 * Defines the sessions of the golden files, as scripts that generate the event files.
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

private val completed = AttemptResult.Completed(RecordedResponse(200, "text/plain", "aGVsbG8="))

val goldenSessions: Map<String, () -> List<TimedEvent>> = mapOf(
    "whole-life" to { Script().start().requests().leave().events },
    "store-outage" to { Script().start().outage().events },
)

private class Script {
    val events = mutableListOf<TimedEvent>()
    private var nowMs = START_MS

    fun start(): Script = apply {
        addEvent(EntryEvent.HeadRead(DocumentHead(DocumentVersion(1), "hash-1")))
        addEvent(EntryEvent.DocumentFetched(DocumentHead(DocumentVersion(1), "hash-1"), sampleDocument()))
        addEvent(EntryEvent.PlatformListRead(listOf(createListedInstance(createMember("e1"))), createServers(NORTH_A)))
        repeat(8) { tick() }
    }

    fun requests(): Script = apply {
        addEvent(EntryEvent.RequestArrived(createRequest(1, deadlineAtMs = nowMs + 1_000)))
        endAttempt(1, 1, AttemptResult.Lost(Reason.CONNECTION_LOST))
        endAttempt(1, 2, AttemptResult.Completed())
        addEvent(EntryEvent.RequestArrived(createRequest(2, BOOKINGS, nowMs + 2_000)))
        addEvent(EntryEvent.ClaimReplyReceived(RequestId(2), ClaimReply.Lost))
        addEvent(EntryEvent.ClaimReplyReceived(RequestId(2), ClaimReply.Absent))
        addEvent(EntryEvent.ClaimReplyReceived(RequestId(2), ClaimReply.Written))
        endAttempt(2, 1, AttemptResult.Refused(Reason.SERVER_REFUSED, 1_000, isServerLeaving = true))
        endAttempt(2, 2, completed)
        addEvent(EntryEvent.LoadReported(createServers(NORTH_A).first().name, LoadReport(1, isLeaving = true)))
        tick()
    }

    fun outage(): Script = apply {
        addEvent(EntryEvent.RequestArrived(createRequest(1, BOOKINGS, nowMs + 2_000)))
        addEvent(EntryEvent.ClaimReplyReceived(RequestId(1), ClaimReply.Unavailable))
        val binding = Binding(createMember("e1").incarnation, nowMs)
        addEvent(EntryEvent.RequestArrived(createRequest(2, BOOKINGS, nowMs + 2_000, key = "key-1", binding = binding)))
        addEvent(EntryEvent.ClaimReplyReceived(RequestId(2), ClaimReply.Unavailable))
        endAttempt(2, 1, completed)
        addEvent(EntryEvent.RequestArrived(createRequest(3, BOOKINGS, nowMs + 2_000, key = "key-1", binding = binding)))
        tick()
    }

    fun leave(): Script = apply {
        addEvent(EntryEvent.RequestArrived(createRequest(3, deadlineAtMs = nowMs + 20_000)))
        addEvent(EntryEvent.LeaveRequested)
        repeat(11) { tick() }
        addEvent(EntryEvent.RequestArrived(createRequest(4, deadlineAtMs = nowMs + 1_000)))
        endAttempt(3, 1, AttemptResult.Completed())
        tick()
    }

    private fun endAttempt(request: Long, attempt: Int, result: AttemptResult) {
        addEvent(EntryEvent.AttemptEnded(AttemptId("e1-7-$request-$attempt"), result))
    }

    private fun addEvent(event: EntryEvent) {
        nowMs += 10
        events += TimedEvent(nowMs, event)
    }

    private fun tick() {
        nowMs += 490
        addEvent(EntryEvent.Tick(nowMs / 1_000))
    }
}
