/*
 * Turns the ends of attempts at peers into events, and keeps the answers until their requests are answered.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.entry.requests.RequestBook
import org.cardamomwharf.entry.requests.toRecorded
import org.cardamomwharf.peer.HandedOverResponse
import org.cardamomwharf.peer.PeerMessage

/** Represents the receiver of the ends of attempts at peers. */
public class HandOverResults(
    private val ring: EventRing,
    private val book: RequestBook,
    private val attempts: HandedAttempts,
) {
    /** Takes the end that a peer sent; of a late or doubled one nothing is kept. */
    public fun take(message: PeerMessage.HandOverReply) {
        val answer = message.response
        val result = when (message.reason.outcome) {
            Outcome.RAN -> ranResultOf(answer)
            Outcome.NOT_RUN -> AttemptResult.Refused(message.reason, message.retryAfterMs)
            Outcome.UNKNOWN -> AttemptResult.Lost(message.reason)
        }
        val handed = attempts.end(message.attempt)
        if (handed != null && answer != null) book.keep(handed.request, message.attempt, answer)
        ring.put(EntryEvent.AttemptEnded(message.attempt, result))
    }

    /** Takes the end of an attempt that no peer answered. */
    public fun take(attempt: AttemptId, result: AttemptResult) {
        attempts.end(attempt)
        ring.put(EntryEvent.AttemptEnded(attempt, result))
    }

    private fun ranResultOf(answer: HandedOverResponse?): AttemptResult =
        if (answer == null) {
            AttemptResult.Lost(Reason.ANSWER_TRUNCATED)
        } else {
            AttemptResult.Completed(answer.toRecorded())
        }
}
