/*
 * Tracks the requests without a final response and the running attempts. An attempt may outlive its request; its slot
 * stays occupied until the attempt itself has ended.
 */
package org.cardamomwharf.decision.requests

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName

/** Represents the target of an attempt. */
public sealed interface Target {
    /** A backend server of the own zone. */
    public data class Server(public val name: ServerName) : Target

    /** Another entry instance. */
    public data class Peer(public val name: InstanceName) : Target
}

/** Represents the phase of an open request. */
public sealed interface Phase {
    /** The key of the request is being claimed in the table service. */
    public data object Claiming : Phase

    /** The request waits for a slot. */
    public data object Waiting : Phase

    /** The given attempt is running. */
    public data class Running(public val attempt: AttemptId) : Phase
}

/**
 * Represents a request without a final response.
 *
 * @param readClaimAtMs when the claim row is read again, or null when no read is scheduled.
 * @param isClaimed true when the claim row names [claimAttempt].
 * @param isClaimWriteAttempted true when a write of the claim row may have taken effect or still may.
 * @param lastLossReason why the response to an earlier attempt was lost, in which case the request may have run; null
 * when none was lost.
 * @param isBound true when the key is recorded in the memory of this incarnation.
 */
public data class OpenRequest(
    public val spec: RequestSpec,
    public val claimAttempt: AttemptId,
    public val phase: Phase,
    public val attempts: Int = 0,
    public val claimCalls: Int = 0,
    public val isClaimed: Boolean = false,
    public val readClaimAtMs: Long? = null,
    public val isClaimWriteAttempted: Boolean = false,
    public val isBound: Boolean = false,
    public val triedServers: PersistentSet<ServerName> = persistentSetOf(),
    public val triedPeers: PersistentSet<InstanceName> = persistentSetOf(),
    public val lastRefusalReason: Reason? = null,
    public val lastLossReason: Reason? = null,
)

/** Represents an attempt that has not ended. */
public data class RunningAttempt(
    public val request: RequestId,
    public val service: ServiceName,
    public val target: Target,
    public val startedAtMs: Long,
)

/** Represents the open requests, the queue of each service in order of arrival, and the running attempts. */
public data class RequestTable(
    public val open: PersistentMap<RequestId, OpenRequest> = persistentMapOf(),
    public val waiting: PersistentMap<ServiceName, PersistentList<RequestId>> = persistentMapOf(),
    public val attempts: PersistentMap<AttemptId, RunningAttempt> = persistentMapOf(),
) {
    /** Returns the number of waiting requests of [service]. */
    public fun countWaiting(service: ServiceName): Int = waiting[service]?.size ?: 0

    /** Returns the number of running attempts at [peer] for [service]. */
    public fun countHandOvers(peer: InstanceName, service: ServiceName): Int =
        attempts.values.count { it.service == service && it.target == Target.Peer(peer) }
}

/** Returns this table with [request] added or replaced. */
public fun RequestTable.put(request: OpenRequest): RequestTable =
    copy(open = open.put(request.spec.id, request))

/** Returns this table without the request [id]; its attempts remain until they end. */
public fun RequestTable.close(id: RequestId): RequestTable {
    val service = open[id]?.spec?.service ?: return this
    return unqueue(service, id).copy(open = open.remove(id))
}

/** Returns this table with [id] at the end of the queue of [service]. */
public fun RequestTable.enqueue(service: ServiceName, id: RequestId): RequestTable {
    val queue = waiting[service] ?: persistentListOf()
    return copy(waiting = waiting.put(service, queue.add(id)))
}

/** Returns this table with [id] removed from the queue of [service]. */
public fun RequestTable.unqueue(service: ServiceName, id: RequestId): RequestTable {
    val queue = waiting[service]
    if (queue == null || id !in queue) return this
    return copy(waiting = waiting.put(service, queue.filter { it != id }.toPersistentList()))
}
