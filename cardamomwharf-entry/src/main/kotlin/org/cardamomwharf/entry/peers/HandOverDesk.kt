/*
 * The requests that peers hand over to this instance: they enter the decisions like those of callers, and their answers
 * go back on the connection they came from.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.RequestOrigin
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.entry.requests.AnswerReceiver
import org.cardamomwharf.entry.requests.BookedRequest
import org.cardamomwharf.entry.requests.RequestBook
import org.cardamomwharf.peer.HandedOverResponse
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.ReplySender
import java.util.concurrent.ConcurrentHashMap

/** Represents the requests taken over from peers. */
public class HandOverDesk(
    private val book: RequestBook,
    private val ring: EventRing,
    private val clock: Clock,
) {
    private val running = ConcurrentHashMap<AttemptId, RequestId>()
    private val held = ConcurrentHashMap<AttemptId, HeldEnd>()

    /** Takes a request over. */
    public fun take(message: PeerMessage.HandOver, replies: ReplySender) {
        val spec = specOf(message)
        running[message.attempt] = spec.id
        val receiver = AnswerReceiver { answer, ran -> finish(message, answer, ran, replies) }
        book.add(BookedRequest(spec, message.request, receiver))
        if (!ring.offerRequest(EntryEvent.RequestArrived(spec))) {
            book.remove(spec.id)
            running.remove(message.attempt)
            replies.send(PeerMessage.HandOverReply(message.attempt, Reason.RING_FULL, 0, null))
        }
    }

    /** Stops a request that was taken over. */
    public fun cancel(attempt: AttemptId) {
        held.remove(attempt)
        running[attempt]?.let { ring.put(EntryEvent.CallerDisconnected(it)) }
    }

    /** Sends an answer that was held back. */
    public fun release(attempt: AttemptId) {
        held.remove(attempt)?.let { it.replies.send(it.end) }
    }

    private fun specOf(message: PeerMessage.HandOver): RequestSpec = RequestSpec(
        id = book.newId(),
        service = message.service,
        origin = RequestOrigin.PEER,
        isIdempotent = message.limits.isIdempotent,
        requestBytes = message.request.body.size.toLong(),
        deadlineAtMs = clock.nowMs() + message.limits.remainingMs,
        clientZone = message.limits.clientZone,
        fingerprint = message.request.fingerprint,
        attempt = message.claimAttempt,
    )

    private fun finish(
        message: PeerMessage.HandOver,
        answer: EntryEffect.Respond,
        ran: HandedOverResponse?,
        replies: ReplySender,
    ) {
        running.remove(message.attempt)
        val end = PeerMessage.HandOverReply(message.attempt, answer.reason, answer.retryAfterMs, ran)
        val missingBytes = (ran?.body?.size ?: 0) - message.limits.creditBytes
        if (missingBytes > 0) {
            held[message.attempt] = HeldEnd(end, replies)
            replies.send(PeerMessage.CreditRequest(message.attempt, missingBytes))
        } else {
            replies.send(end)
        }
    }

    private class HeldEnd(val end: PeerMessage.HandOverReply, val replies: ReplySender)
}
