/*
 * Whether the instances of a zone see the same members, which ownership waits for before anything is taken over.
 */
package org.cardamomwharf.decision.membership

/** Returns true when every live peer reports the same live set as this instance. */
public fun Membership.isLiveViewAgreed(nowMs: Long): Boolean {
    val hash = hashView(listLive(nowMs))
    return findLivePeers(nowMs).all { it.heartbeat.liveViewHash == hash }
}

/** Returns true when every live peer reports the same settled set as this instance. */
public fun Membership.isSettledViewAgreed(nowMs: Long): Boolean {
    val hash = hashView(listSettled(nowMs))
    return findLivePeers(nowMs).all { it.heartbeat.settledViewHash == hash }
}
