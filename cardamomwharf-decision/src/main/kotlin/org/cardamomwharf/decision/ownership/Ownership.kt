/*
 * Divides backend servers and parts of cap shares among the instances of a zone. An instance lets go of what its own
 * view gives to another at once, and takes what its view gives to it only when all live peers report the same view. So
 * between instances that hear each other no resource ever has two owners.
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
 * Represents what this instance may use: whole backend servers and parts of every cap share of its zone.
 *
 * @param input what the ownership was computed from; while it stays the same nothing has to be computed again.
 */
public data class Ownership(
    public val servers: PersistentSet<ServerName> = persistentSetOf(),
    public val capParts: PersistentSet<Int> = persistentSetOf(),
    public val input: OwnershipInput? = null,
)

/** Represents all that decides about an ownership. */
public data class OwnershipInput(
    public val live: List<InstanceName>,
    public val settled: List<InstanceName>,
    public val isLiveAgreed: Boolean,
    public val isSettledAgreed: Boolean,
    public val zoneServers: Set<ServerName>,
)

/** Returns the ownership after a look at [membership]; [zoneServers] are the backend servers of the own zone. */
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
    val myServers = next.zoneServers.filter { findServerOwner(it, next.live) == self }.toPersistentSet()
    val myParts = (0 until CAP_PARTS).filter { findPartOwner(it, next.settled) == self }.toPersistentSet()
    return Ownership(
        servers = merge(servers, myServers, next.isLiveAgreed),
        capParts = merge(capParts, myParts, next.isSettledAgreed),
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
