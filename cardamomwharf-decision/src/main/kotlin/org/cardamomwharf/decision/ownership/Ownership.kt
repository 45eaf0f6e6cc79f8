/*
 * Divides backend servers and parts of cap shares among the instances of a zone. An instance gives up at once what its
 * own view assigns to another, and takes over what its view assigns to itself only when all live peers report the same
 * view. So no resource has two owners among instances that receive each other's heartbeats.
 */
package org.cardamomwharf.decision.ownership

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.rendezvousOwner
import org.cardamomwharf.decision.membership.Membership
import org.cardamomwharf.decision.membership.isJoining
import org.cardamomwharf.decision.membership.isLiveViewAgreed
import org.cardamomwharf.decision.membership.isSettledViewAgreed
import org.cardamomwharf.decision.membership.listLiveMembers
import org.cardamomwharf.decision.membership.listSettledMembers

/** The number of parts into which each cap share of a zone is divided. */
public const val CAP_PARTS: Int = 64

/**
 * Represents the resources of this instance: backend servers and parts of every cap share of its zone.
 *
 * @param input the input of the last computation; nothing is computed again while it is unchanged.
 */
public data class Ownership(
    public val servers: PersistentSet<ServerName> = persistentSetOf(),
    public val capParts: PersistentSet<Int> = persistentSetOf(),
    public val input: OwnershipInput? = null,
)

/** Represents all that an ownership is computed from. */
public data class OwnershipInput(
    public val live: List<InstanceName>,
    public val settled: List<InstanceName>,
    public val isLiveAgreed: Boolean,
    public val isSettledAgreed: Boolean,
    public val zoneServers: Set<ServerName>,
)

/** Recomputes the ownership from [membership] and [zoneServers], the backend servers of the own zone. */
public fun Ownership.recompute(membership: Membership, zoneServers: Set<ServerName>, nowMs: Long): Ownership {
    if (membership.isLeaving || membership.isJoining(nowMs)) return Ownership()
    val next = OwnershipInput(
        live = membership.listLiveMembers(nowMs),
        settled = membership.listSettledMembers(nowMs),
        isLiveAgreed = membership.isLiveViewAgreed(nowMs),
        isSettledAgreed = membership.isSettledViewAgreed(nowMs),
        zoneServers = zoneServers.toSet(),
    )
    return if (next == input) this else assign(next, membership.self.name)
}

private fun Ownership.assign(next: OwnershipInput, self: InstanceName): Ownership {
    val assignedServers = next.zoneServers.filter { findServerOwner(it, next.live) == self }.toPersistentSet()
    val assignedParts = (0 until CAP_PARTS).filter { findPartOwner(it, next.settled) == self }.toPersistentSet()
    return Ownership(
        servers = merge(servers, assignedServers, next.isLiveAgreed),
        capParts = merge(capParts, assignedParts, next.isSettledAgreed),
        input = next,
    )
}

/** Returns the owner of a backend server among [members]. */
public fun findServerOwner(server: ServerName, members: List<InstanceName>): InstanceName? =
    rendezvousOwner("server:${server.value}", members) { it.value }

/** Returns the owner of a part of the cap shares among [members]. */
public fun findPartOwner(part: Int, members: List<InstanceName>): InstanceName? =
    rendezvousOwner("part:$part", members) { it.value }

private fun <T> merge(held: PersistentSet<T>, assigned: PersistentSet<T>, isAgreed: Boolean): PersistentSet<T> =
    if (isAgreed) assigned else assigned.filter { it in held }.toPersistentSet()
