/*
 * Callbacks for messages from peers. All calls come from the single thread of the connections and must not block.
 */
package org.cardamomwharf.peer

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.decision.requests.AttemptResult

/** Represents a sender of replies on the connection from which a message was received. */
public fun interface ReplySender {
    /** Sends [message]; returns false when the connection is closed or its queue is full. */
    public fun send(message: PeerMessage): Boolean
}

/** Represents the receiver of messages from peers. */
public interface PeerHandler {
    /** Receives a message that a peer sent on its own initiative. */
    public fun receive(message: PeerMessage, replies: ReplySender)

    /** Receives a reply to a message of this instance. */
    public fun receiveReply(message: PeerMessage)

    /** Receives the result of a hand-over that got no reply. */
    public fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult)
}
