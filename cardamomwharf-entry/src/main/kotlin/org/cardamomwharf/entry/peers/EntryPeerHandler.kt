/*
 * Handles messages of peers by enqueuing events and calling the components that own the data.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.entry.documents.DocumentManager
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.peer.PeerHandler
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.ReplySender

/** Handles the peer messages of an entry process. */
public class EntryPeerHandler(
    private val eventQueue: EventQueue,
    private val resultHandler: HandOverResultHandler,
    private val incomingHandOvers: IncomingHandOvers,
    private val documentManager: DocumentManager,
    private val loanReplySenders: LoanReplySenders,
    private val requestBlocks: (String) -> Unit,
) : PeerHandler {
    override fun receive(message: PeerMessage, replies: ReplySender) {
        when (message) {
            is PeerMessage.HeartbeatMessage -> eventQueue.put(EntryEvent.HeartbeatReceived(message.heartbeat))
            is PeerMessage.SummaryMessage ->
                eventQueue.put(EntryEvent.SummaryReceived(message.summary, message.isRelayed))
            is PeerMessage.LoanRequestMessage -> receiveLoanRequest(message, replies)
            is PeerMessage.ContentsRequest -> replies.send(documentManager.createReply(message))
            is PeerMessage.HandOver -> incomingHandOvers.receive(message, replies)
            is PeerMessage.CreditGrant -> incomingHandOvers.sendHeldReply(message.attempt)
            is PeerMessage.Cancel -> incomingHandOvers.cancel(message.attempt)
            else -> Unit
        }
    }

    private fun receiveLoanRequest(message: PeerMessage.LoanRequestMessage, replies: ReplySender) {
        loanReplySenders.register(message.request, replies)
        eventQueue.put(EntryEvent.LoanRequested(message.request))
    }

    override fun receiveReply(message: PeerMessage) {
        when (message) {
            is PeerMessage.LoanGrantMessage -> eventQueue.put(EntryEvent.LoanReplyReceived(message.grant))
            is PeerMessage.ContentsReply -> documentManager.receive(message, requestBlocks)
            is PeerMessage.CreditRequest ->
                eventQueue.put(EntryEvent.CreditRequested(message.attempt, message.missingBytes))
            is PeerMessage.HandOverReply -> resultHandler.receiveReply(message)
            else -> Unit
        }
    }

    override fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult) {
        resultHandler.receiveFailure(attempt, result)
    }
}
