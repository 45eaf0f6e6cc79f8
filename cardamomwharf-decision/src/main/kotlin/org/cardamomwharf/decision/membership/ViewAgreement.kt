/*
 * Whether the instances of a zone have the same view of its members. Resources change their owner only when they do.
 */
package org.cardamomwharf.decision.membership

/** Returns true when every live peer reports the same live set as this instance. */
public fun Membership.isLiveViewAgreed(nowMs: Long): Boolean {
    val hash = hashView(listLiveMembers(nowMs))
    return findLivePeers(nowMs).all { it.heartbeat.liveViewHash == hash }
}

/** Returns true when every live peer reports the same settled set as this instance. */
public fun Membership.isSettledViewAgreed(nowMs: Long): Boolean {
    val hash = hashView(listSettledMembers(nowMs))
    return findLivePeers(nowMs).all { it.heartbeat.settledViewHash == hash }
}

/** Returns true when a field that ownership depends on differs from the [known] heartbeat of the same instance. */
public fun Heartbeat.changesOwnership(known: Heartbeat): Boolean =
    sender.incarnation != known.sender.incarnation ||
        isLeaving != known.isLeaving ||
        isJoining != known.isJoining ||
        liveViewHash != known.liveViewHash ||
        settledViewHash != known.settledViewHash ||
        residuals != known.residuals
