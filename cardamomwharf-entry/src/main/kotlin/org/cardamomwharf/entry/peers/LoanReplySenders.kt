/*
 * Reply connections of peers that requested a loan.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.decision.caps.LoanGrant
import org.cardamomwharf.decision.caps.LoanRequest
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.ReplySender
import java.util.concurrent.ConcurrentHashMap

/** Holds the reply sender of the latest loan request of each borrower. */
public class LoanReplySenders {
    private val senders = ConcurrentHashMap<InstanceName, ReplySender>()

    /** Registers the reply sender for the borrower of [request]. */
    public fun register(request: LoanRequest, replies: ReplySender) {
        senders[request.borrower] = replies
    }

    /** Sends [grant] to [borrower] if it requested a loan. */
    public fun reply(borrower: InstanceName, grant: LoanGrant) {
        senders[borrower]?.send(PeerMessage.LoanGrantMessage(grant))
    }
}
