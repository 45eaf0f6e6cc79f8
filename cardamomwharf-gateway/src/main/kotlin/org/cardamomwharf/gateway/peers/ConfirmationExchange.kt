/*
 * Connects heartbeats with the confirmation of the configuration.
 */
package org.cardamomwharf.gateway.peers

import org.cardamomwharf.steering.teams.Confirmation

/** Supplies confirmations for other instances and receives theirs. */
internal interface ConfirmationExchange {
    /**
     * Returns what to confirm to the instances whose heartbeats a message returns, or null for nothing. Has to be
     * called after the message was made, because the age in the answer counts from the latest question in it.
     */
    fun toSend(): Confirmation?

    /** Records the [confirmation] in the answer to a question that was sent at [askedAtMs]. */
    fun receive(confirmation: Confirmation, askedAtMs: Long)
}
