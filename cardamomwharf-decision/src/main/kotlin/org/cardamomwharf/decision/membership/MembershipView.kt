/*
 * What follows from the members at a point in time: who is live, who is settled, and whether the peers agree.
 */
package org.cardamomwharf.decision.membership

import org.cardamomwharf.core.InstanceName

/** Returns true when this process has not run for so long that others may have taken its place. */
public fun Membership.isLeaseExpired(nowMs: Long): Boolean = nowMs - lastRanAtMs >= settings.leaseMs

/** Returns true while this instance only listens. */
public fun Membership.isJoining(nowMs: Long): Boolean = nowMs - joinedAtMs < settings.joinWaitMs

/** Returns the peers that were heard lately and take work, by name. */
public fun Membership.findLivePeers(nowMs: Long): List<PeerState> =
    peers.values.filter { isLive(it, nowMs) && isHolding(it) }.sortedBy { it.member.name.value }

/** Returns the names of the live set. */
public fun Membership.listLiveMembers(nowMs: Long): List<InstanceName> =
    withSelf(findLivePeers(nowMs).map { it.member.name }, nowMs)

/** Returns the names of the settled set. */
public fun Membership.listSettledMembers(nowMs: Long): List<InstanceName> =
    withSelf(peers.values.filter { isSettled(it, nowMs) }.map { it.member.name }, nowMs)

private fun Membership.isLive(peer: PeerState, nowMs: Long): Boolean = nowMs - peer.receivedAtMs < settings.takeoverMs

private fun Membership.isSettled(peer: PeerState, nowMs: Long): Boolean =
    isHolding(peer) && (isLive(peer, nowMs) || !hasReadList || peer.member.name in listed)

private fun isHolding(peer: PeerState): Boolean = !peer.heartbeat.isLeaving && !peer.heartbeat.isJoining

private fun Membership.withSelf(names: List<InstanceName>, nowMs: Long): List<InstanceName> =
    (if (isLeaving || isJoining(nowMs)) names else names + self.name).sortedBy { it.value }
