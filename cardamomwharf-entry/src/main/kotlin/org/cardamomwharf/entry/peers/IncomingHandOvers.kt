/*
 * Requests that peers hand over to this instance. They are submitted to the decision loop like those of callers, and
 * replies are sent on the connection on which the request arrived.
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
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.requests.RegisteredRequest
import org.cardamomwharf.entry.requests.RequestRegistry
import org.cardamomwharf.entry.requests.ResponseReceiver
import org.cardamomwharf.peer.HandedOverResponse
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.ReplySender
import java.util.concurrent.ConcurrentHashMap

/** Processes requests that peers hand over to this instance. */
public class IncomingHandOvers(
    private val requestRegistry: RequestRegistry,
    private val eventQueue: EventQueue,
    private val clock: Clock,
) {
    private val requestIds = ConcurrentHashMap<AttemptId, RequestId>()
    private val heldReplies = ConcurrentHashMap<AttemptId, HeldReply>()

    /** Submits a handed-over request to the decision loop, or refuses it if the event queue is full. */
    public fun receive(message: PeerMessage.HandOver, replies: ReplySender) {
        val spec = createSpec(message)
        requestIds[message.attempt] = spec.id
        val receiver = ResponseReceiver { effect, serverResponse -> complete(message, effect, serverResponse, replies) }
        requestRegistry.add(RegisteredRequest(spec, message.request, receiver))
        if (!eventQueue.offerRequest(EntryEvent.RequestArrived(spec))) {
            requestRegistry.remove(spec.id)
            requestIds.remove(message.attempt)
            replies.send(PeerMessage.HandOverReply(message.attempt, Reason.RING_FULL, 0, null))
        }
    }

    /** Cancels a handed-over request. */
    public fun cancel(attempt: AttemptId) {
        heldReplies.remove(attempt)
        requestIds[attempt]?.let { eventQueue.put(EntryEvent.CallerDisconnected(it)) }
    }

    /** Sends a reply that was held until the peer granted credit. */
    public fun sendHeldReply(attempt: AttemptId) {
        heldReplies.remove(attempt)?.let { it.replies.send(it.reply) }
    }

    private fun createSpec(message: PeerMessage.HandOver): RequestSpec = RequestSpec(
        id = requestRegistry.newId(),
        service = message.service,
        origin = RequestOrigin.PEER,
        isIdempotent = message.limits.isIdempotent,
        requestBytes = message.request.body.size.toLong(),
        deadlineAtMs = clock.nowMs() + message.limits.remainingMs,
        clientZone = message.limits.clientZone,
        fingerprint = message.request.fingerprint,
        attempt = message.claimAttempt,
    )

    private fun complete(
        message: PeerMessage.HandOver,
        effect: EntryEffect.Respond,
        serverResponse: HandedOverResponse?,
        replies: ReplySender,
    ) {
        requestIds.remove(message.attempt)
        val reply = PeerMessage.HandOverReply(message.attempt, effect.reason, effect.retryAfterMs, serverResponse)
        val missingBytes = (serverResponse?.body?.size ?: 0) - message.limits.creditBytes
        if (missingBytes > 0) {
            heldReplies[message.attempt] = HeldReply(reply, replies)
            replies.send(PeerMessage.CreditRequest(message.attempt, missingBytes))
        } else {
            replies.send(reply)
        }
    }

    private class HeldReply(val reply: PeerMessage.HandOverReply, val replies: ReplySender)
}
