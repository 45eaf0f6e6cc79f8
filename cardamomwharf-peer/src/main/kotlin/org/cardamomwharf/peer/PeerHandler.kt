/*
 * What the process around the connections is told. All calls come from the one thread of the connections and must not
 * block.
 */
package org.cardamomwharf.peer

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.decision.requests.AttemptResult

/** Represents the way back on the connection that a message came from. */
public fun interface ReplySender {
    /** Sends [message] back; returns false when the connection is closed or its queue is full. */
    public fun send(message: PeerMessage): Boolean
}

/** Represents the receiver of messages. */
public interface PeerHandler {
    /** Takes a message that a peer sent of its own accord. */
    public fun receive(message: PeerMessage, replies: ReplySender)

    /** Takes an answer to a message of ours. */
    public fun receiveReply(message: PeerMessage)

    /** Takes the end of a hand-over that got no answer. */
    public fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult)
}
