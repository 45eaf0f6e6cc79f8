/*
 * What instances tell each other about themselves.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.steering.store.StoreStatus

/**
 * Represents a message between two instances.
 *
 * @param sender the heartbeat of the sender, with how it can be reached.
 * @param newInstances heartbeats of instances that the receiver may not know yet.
 * @param counts heartbeats of instances that most others know.
 * @param storeStatus what the sender says about the store, when it follows it.
 */
public data class HeartbeatMessage(
    public val sender: Heartbeat,
    public val newInstances: List<Heartbeat> = emptyList(),
    public val counts: List<HeartbeatCount> = emptyList(),
    public val storeStatus: StoreStatus? = null,
)

/** Represents [message] on its way to the instances [recipients]. */
public data class OutgoingHeartbeat(public val recipients: List<InstanceRecord>, public val message: HeartbeatMessage)
