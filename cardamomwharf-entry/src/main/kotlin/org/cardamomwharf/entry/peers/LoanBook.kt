/*
 * The ways back to peers that asked for a loan.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.decision.caps.LoanGrant
import org.cardamomwharf.decision.caps.LoanRequest
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.ReplySender
import java.util.concurrent.ConcurrentHashMap

/** Represents the requests for loans that wait for their answer. */
public class LoanBook {
    private val waiting = ConcurrentHashMap<InstanceName, ReplySender>()

    /** Remembers the way back to the borrower of [request]. */
    public fun remember(request: LoanRequest, replies: ReplySender) {
        waiting[request.borrower] = replies
    }

    /** Sends [grant] to [borrower]. */
    public fun answer(borrower: InstanceName, grant: LoanGrant) {
        waiting[borrower]?.send(PeerMessage.LoanGrantMessage(grant))
    }
}
