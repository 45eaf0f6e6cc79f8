/*
 * Lists the other instances, both as registered in the store and as known from heartbeats.
 */
package org.cardamomwharf.gateway.peers

import org.cardamomwharf.core.Clock
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.InstanceRegistry

/** Time after the start in which registered instances count as running; heartbeats need several rounds to arrive. */
private const val STARTUP_GRACE_MS = 3_000L

/** Represents the instances known to the instance [own]; access to [registry] is synchronized on it. */
internal class PeerList(
    val own: InstanceRecord,
    val registry: InstanceRegistry,
    private val clock: Clock,
) {
    private val startedAtMs = clock.nowMs()

    /** The other instances registered in the store, or null before they were read. */
    @Volatile
    private var registered: List<InstanceRecord>? = null

    /** Replaces the registered instances by [records]. */
    fun setRegistered(records: Collection<InstanceRecord>) {
        val others = records.filter { it.name != own.name }
        registered = others
        synchronized(registry) { registry.addAddresses(others) }
    }

    /** Returns the running instances including this one. */
    fun running(): List<InstanceRecord> = synchronized(registry) { registry.running(clock.nowMs()) }

    /** Returns all other instances that may be running. */
    fun others(): List<InstanceRecord> =
        (registered.orEmpty() + running()).associateBy { it.name }.values.filter { it.name != own.name }

    /**
     * Returns the instances that share limits, or null while they aren't known. After the start, registered instances
     * count as running until their heartbeats had time to arrive.
     */
    fun instancesSharingLimits(): Collection<InstanceRecord>? {
        val isStartupOver = clock.nowMs() - startedAtMs >= STARTUP_GRACE_MS
        return if (isStartupOver) {
            running()
        } else {
            registered?.let { (it + running()).associateBy { record -> record.name }.values }
        }
    }
}
