/*
 * Heartbeat messages between instances.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.steering.crashes.CrashMessage
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.teams.Confirmation
import org.cardamomwharf.steering.teams.limits.TeamLimitMessage

/**
 * Represents a heartbeat message between two instances.
 *
 * @param sender heartbeat of the sender, with its addresses.
 * @param newInstances heartbeats of instances that may be unknown to the receiver, with their addresses.
 * @param counts heartbeat counts of instances that most others know.
 * @param storeStatus status of the store, if the sender watches it.
 * @param crashes what the sender knows about requests that crash backend servers, or null for nothing.
 * @param confirmation age of the configuration, stated with [storeStatus] to the instances that [counts] names: a
 * count that an instance has sent is its question, and the message that returns the count is the answer.
 * @param teamLimits what the sender knows about the requests of teams with a limit, or null for nothing.
 */
public data class HeartbeatMessage(
    public val sender: Heartbeat,
    public val newInstances: List<Heartbeat> = emptyList(),
    public val counts: List<HeartbeatCount> = emptyList(),
    public val storeStatus: StoreStatus? = null,
    public val crashes: CrashMessage? = null,
    public val confirmation: Confirmation? = null,
    public val teamLimits: TeamLimitMessage? = null,
)

/** Represents a [message] to send to [recipients]. */
public data class OutgoingHeartbeat(public val recipients: List<InstanceRecord>, public val message: HeartbeatMessage)
