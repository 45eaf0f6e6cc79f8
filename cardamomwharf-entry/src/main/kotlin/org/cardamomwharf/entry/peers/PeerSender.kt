/*
 * Sends what the decisions want peers to know, and hands requests over.
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
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.entry.requests.RequestBook
import org.cardamomwharf.peer.HandOverLimits
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.PeerNode

/** Represents the sender of messages to peers. */
public class PeerSender(
    private val node: PeerNode,
    private val book: RequestBook,
    private val attempts: HandedAttempts,
    private val ring: EventRing,
    private val clock: Clock,
    private val metrics: EntryMetrics,
) {
    /** The peer that the document was last asked from. */
    @Volatile
    private var documentSource: SocketAddress? = null

    /** Sends [message] to all [addresses]. */
    public fun sendAll(addresses: List<PeerAddress>, message: PeerMessage) {
        repeat(node.sendAll(addresses.map { it.address }, message)) { metrics.countDrop() }
    }

    /** Sends [message] to one peer. */
    public fun send(address: SocketAddress, message: PeerMessage) {
        if (!node.send(address, message)) metrics.countDrop()
    }

    /** Asks a peer for its document. */
    public fun askDocument(address: SocketAddress) {
        documentSource = address
        send(address, PeerMessage.ContentsRequest())
    }

    /** Asks the peer that had the document for its client blocks. */
    public fun askBlocks(blocksHash: String) {
        documentSource?.let { send(it, PeerMessage.ContentsRequest(blocksHash)) }
    }

    /** Hands a request over. */
    public fun handOver(effect: EntryEffect.HandOver) {
        val request = book.find(effect.request)
        if (request == null) {
            ring.put(EntryEvent.AttemptEnded(effect.attempt, AttemptResult.NotSent(Reason.BUSY)))
            return
        }
        val limits = HandOverLimits(
            isIdempotent = request.spec.isIdempotent,
            remainingMs = (request.spec.deadlineAtMs - clock.nowMs()).coerceAtLeast(1),
            creditBytes = effect.creditBytes,
            clientZone = request.spec.clientZone,
        )
        attempts.add(effect.attempt, HandedAttempt(effect.request, effect.address))
        val message =
            PeerMessage.HandOver(effect.attempt, effect.claimAttempt, request.spec.service, request.handed, limits)
        node.handOver(effect.address, message)
    }

    /** Lets the peer send the whole answer. */
    public fun grantCredit(attempt: AttemptId) {
        attempts.find(attempt)?.let { send(it.address, PeerMessage.CreditGrant(attempt)) }
    }

    /** Stops a request that was handed over. */
    public fun cancel(attempt: AttemptId) {
        attempts.end(attempt)?.let { send(it.address, PeerMessage.Cancel(attempt)) }
    }
}
