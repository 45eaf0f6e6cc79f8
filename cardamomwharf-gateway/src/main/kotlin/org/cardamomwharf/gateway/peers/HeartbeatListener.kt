/*
 * Connects heartbeats with the watchers of the store.
 */
package org.cardamomwharf.gateway.peers

import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.StoreStatus

/** Supplies the store status for outgoing heartbeats and receives that of other instances. */
internal interface HeartbeatListener {
    /** Returns the store status to send, or null when this instance relies on another one to watch the store. */
    fun statusToSend(): StoreStatus?

    /** Called with the store status that the instance [from] reports. */
    fun onStatusReceived(from: InstanceRecord, status: StoreStatus)

    /** The confirmations of the configuration that heartbeats carry. */
    val confirmations: ConfirmationExchange

    /** Called before each regular heartbeat of this instance. */
    fun onHeartbeat()
}
