/*
 * Turns the messages of peers into events.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.entry.documents.DocumentKeeper
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.peer.PeerHandler
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.ReplySender

/** Represents the receiver of messages of an entry process. */
public class EntryPeerHandler(
    private val ring: EventRing,
    private val results: HandOverResults,
    private val desk: HandOverDesk,
    private val keeper: DocumentKeeper,
    private val loans: LoanBook,
    private val askBlocks: (String) -> Unit,
) : PeerHandler {
    override fun receive(message: PeerMessage, replies: ReplySender) {
        when (message) {
            is PeerMessage.HeartbeatMessage -> ring.put(EntryEvent.HeartbeatReceived(message.heartbeat))
            is PeerMessage.SummaryMessage -> ring.put(EntryEvent.SummaryReceived(message.summary, message.isRelayed))
            is PeerMessage.LoanRequestMessage -> askLoan(message, replies)
            is PeerMessage.ContentsRequest -> replies.send(keeper.answer(message))
            is PeerMessage.HandOver -> desk.take(message, replies)
            is PeerMessage.CreditGrant -> desk.release(message.attempt)
            is PeerMessage.Cancel -> desk.cancel(message.attempt)
            else -> Unit
        }
    }

    private fun askLoan(message: PeerMessage.LoanRequestMessage, replies: ReplySender) {
        loans.remember(message.request, replies)
        ring.put(EntryEvent.LoanRequested(message.request))
    }

    override fun receiveReply(message: PeerMessage) {
        when (message) {
            is PeerMessage.LoanGrantMessage -> ring.put(EntryEvent.LoanReplyReceived(message.grant))
            is PeerMessage.ContentsReply -> keeper.receive(message, askBlocks)
            is PeerMessage.CreditRequest -> ring.put(EntryEvent.CreditRequested(message.attempt, message.missingBytes))
            is PeerMessage.HandOverReply -> results.take(message)
            else -> Unit
        }
    }

    override fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult) {
        results.take(attempt, result)
    }
}
