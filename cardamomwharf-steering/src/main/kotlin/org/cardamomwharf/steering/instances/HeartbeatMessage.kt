/*
 * What instances tell each other about themselves.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.steering.belief.StoreNews

/**
 * Represents a message between two instances.
 *
 * @param sender the heartbeat of the sender, with how it can be reached.
 * @param introduced heartbeats of instances that the receiver may not know yet.
 * @param counts heartbeats of instances that most others know.
 * @param news what the sender says about the store, when it follows it.
 */
public data class HeartbeatMessage(
    public val sender: Heartbeat,
    public val introduced: List<Heartbeat> = emptyList(),
    public val counts: List<HeartbeatCount> = emptyList(),
    public val news: StoreNews? = null,
)

/** Represents [message] on its way to the instances [to]. */
public data class HeartbeatSend(public val to: List<InstanceRecord>, public val message: HeartbeatMessage)
