/*
 * Sends messages to peers and hands requests over to them.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.PeerAddress
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.entry.requests.RequestRegistry
import org.cardamomwharf.peer.HandOverLimits
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.PeerNode

/** Sends messages to peers. */
public class PeerSender(
    private val peerNode: PeerNode,
    private val requestRegistry: RequestRegistry,
    private val handOvers: OutgoingHandOvers,
    private val eventQueue: EventQueue,
    private val clock: Clock,
    private val metrics: EntryMetrics,
) {
    /** The peer from which the document was last requested. */
    @Volatile
    private var documentSource: SocketAddress? = null

    /** Sends [message] to all [addresses]. */
    public fun sendAll(addresses: List<PeerAddress>, message: PeerMessage) {
        repeat(peerNode.sendAll(addresses.map { it.address }, message)) { metrics.countPeerDrop() }
    }

    /** Sends [message] to one peer. */
    public fun send(address: SocketAddress, message: PeerMessage) {
        if (!peerNode.send(address, message)) metrics.countPeerDrop()
    }

    /** Requests the document of a peer. */
    public fun requestDocument(address: SocketAddress) {
        documentSource = address
        send(address, PeerMessage.ContentsRequest())
    }

    /** Requests client blocks from the peer from which the document was requested. */
    public fun requestBlocks(blocksHash: String) {
        documentSource?.let { send(it, PeerMessage.ContentsRequest(blocksHash)) }
    }

    /** Hands a request over to a peer. */
    public fun handOver(effect: EntryEffect.HandOver) {
        val request = requestRegistry.find(effect.request)
        if (request == null) {
            eventQueue.put(EntryEvent.AttemptEnded(effect.attempt, AttemptResult.NotSent(Reason.BUSY)))
            return
        }
        val limits = HandOverLimits(
            isIdempotent = request.spec.isIdempotent,
            remainingMs = (request.spec.deadlineAtMs - clock.nowMs()).coerceAtLeast(1),
            creditBytes = effect.creditBytes,
            clientZone = request.spec.clientZone,
        )
        handOvers.add(effect.attempt, OutgoingHandOver(effect.request, effect.address))
        val message = PeerMessage.HandOver(
            effect.attempt,
            effect.claimAttempt,
            request.spec.service,
            request.forwardedRequest,
            limits,
        )
        peerNode.handOver(effect.address, message)
    }

    /** Allows the peer to send the complete response. */
    public fun grantCredit(attempt: AttemptId) {
        handOvers.find(attempt)?.let { send(it.address, PeerMessage.CreditGrant(attempt)) }
    }

    /** Cancels a request that was handed over. */
    public fun cancel(attempt: AttemptId) {
        handOvers.remove(attempt)?.let { send(it.address, PeerMessage.Cancel(attempt)) }
    }
}
