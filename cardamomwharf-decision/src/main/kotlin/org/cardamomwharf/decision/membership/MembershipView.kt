/*
 * The live and the settled set of members at a point in time.
 */
package org.cardamomwharf.decision.membership

import org.cardamomwharf.core.InstanceName

/** Returns true when the process has not run for the lease, so that peers may take over its resources. */
public fun Membership.isLeaseExpired(nowMs: Long): Boolean = nowMs - lastRanAtMs >= settings.leaseMs

/** Returns true while this instance only receives heartbeats, before it may own resources. */
public fun Membership.isJoining(nowMs: Long): Boolean = nowMs - joinedAtMs < settings.joinWaitMs

/** Returns the peers with a recent heartbeat that are neither joining nor leaving, sorted by name. */
public fun Membership.findLivePeers(nowMs: Long): List<PeerState> =
    peers.values.filter { isLive(it, nowMs) && isActive(it) }.sortedBy { it.member.name.value }

/** Returns the names of the live set, sorted. */
public fun Membership.listLiveMembers(nowMs: Long): List<InstanceName> =
    withSelf(findLivePeers(nowMs).map { it.member.name }, nowMs)

/** Returns the names of the settled set, sorted. */
public fun Membership.listSettledMembers(nowMs: Long): List<InstanceName> =
    withSelf(peers.values.filter { isSettled(it, nowMs) }.map { it.member.name }, nowMs)

private fun Membership.isLive(peer: PeerState, nowMs: Long): Boolean = nowMs - peer.receivedAtMs < settings.takeoverMs

private fun Membership.isSettled(peer: PeerState, nowMs: Long): Boolean =
    isActive(peer) && (isLive(peer, nowMs) || !hasReadList || peer.member.name in listed)

private fun isActive(peer: PeerState): Boolean = !peer.heartbeat.isLeaving && !peer.heartbeat.isJoining

private fun Membership.withSelf(names: List<InstanceName>, nowMs: Long): List<InstanceName> =
    (if (isLeaving || isJoining(nowMs)) names else names + self.name).sortedBy { it.value }
