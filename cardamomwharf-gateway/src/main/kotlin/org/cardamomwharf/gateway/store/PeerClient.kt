/*
 * Access to other instances.
 */
package org.cardamomwharf.gateway.store

import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.steering.instances.InstanceRecord

/** Finds other instances and fetches their store state. */
internal interface PeerClient {
    /** Returns the running instances including this one. */
    fun runningInstances(): List<InstanceRecord>

    /** Returns a random other instance, or null when none is known. */
    fun randomPeer(): InstanceRecord?

    /** Returns the changes since [known] from [peer], or null without a valid response. */
    fun fetchState(peer: InstanceRecord, known: KnownVersions): PeerState?
}
