/*
 * Converts results of hand-overs to events, and stores the responses until their requests are complete.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.requests.RequestRegistry
import org.cardamomwharf.entry.requests.toRecorded
import org.cardamomwharf.peer.HandedOverResponse
import org.cardamomwharf.peer.PeerMessage

/** Handles the results of requests that were handed over to peers. */
public class HandOverResultHandler(
    private val eventQueue: EventQueue,
    private val requestRegistry: RequestRegistry,
    private val handOvers: OutgoingHandOvers,
) {
    /** Handles the reply of a peer; the response in a late or duplicate reply is not stored. */
    public fun receiveReply(message: PeerMessage.HandOverReply) {
        val response = message.response
        val result = when (message.reason.outcome) {
            Outcome.RAN -> createExecutedResult(response)
            Outcome.NOT_RUN -> AttemptResult.Refused(message.reason, message.retryAfterMs)
            Outcome.UNKNOWN -> AttemptResult.Lost(message.reason)
        }
        val handOver = handOvers.remove(message.attempt)
        if (handOver != null && response != null) {
            requestRegistry.storeResponse(handOver.request, message.attempt, response)
        }
        eventQueue.put(EntryEvent.AttemptEnded(message.attempt, result))
    }

    /** Handles an attempt that failed without a reply from the peer. */
    public fun receiveFailure(attempt: AttemptId, result: AttemptResult) {
        handOvers.remove(attempt)
        eventQueue.put(EntryEvent.AttemptEnded(attempt, result))
    }

    private fun createExecutedResult(response: HandedOverResponse?): AttemptResult =
        if (response == null) {
            AttemptResult.Lost(Reason.ANSWER_TRUNCATED)
        } else {
            AttemptResult.Completed(response.toRecorded())
        }
}
