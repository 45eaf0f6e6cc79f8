/*
 * Connects heartbeats with the watchers of the store.
 */
package org.cardamomwharf.gateway.peers

import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.teams.Confirmation

/** Supplies the store status for outgoing heartbeats and receives that of other instances. */
internal interface HeartbeatListener {
    /** Returns the store status to send, or null when this instance relies on another one to watch the store. */
    fun statusToSend(): StoreStatus?

    /** Called with the store status that the instance [from] reports. */
    fun onStatusReceived(from: InstanceRecord, status: StoreStatus)

    /**
     * Returns what to confirm to the instances whose heartbeats a message returns. Has to be called after the message
     * was made, because the age in the answer counts from the latest question in it.
     */
    fun confirmationToSend(): Confirmation?

    /** Called with the [confirmation] in the answer to a question that was sent at [askedAtMs]. */
    fun onConfirmationReceived(confirmation: Confirmation, askedAtMs: Long)

    /** Called before each regular heartbeat of this instance. */
    fun onHeartbeat()
}
