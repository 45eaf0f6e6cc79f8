/*
 * The other instances as the store lists them and as heartbeats tell.
 */
package org.cardamomwharf.gateway.peers

import org.cardamomwharf.core.Clock
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.InstanceRegistry

/** Time after a start for which listed instances count as running; their heartbeats need several rounds to arrive. */
private const val STARTUP_GRACE_MS = 3_000L

/** Represents the instances that are known besides [own]. */
internal class PeerList(
    private val own: InstanceRecord,
    private val registry: InstanceRegistry,
    private val clock: Clock,
) {
    private val startedAtMs = clock.nowMs()

    /** The instances that the store lists, or null before they were read. */
    @Volatile
    private var listed: List<InstanceRecord>? = null

    /** Takes the instances that the store lists. */
    fun setListed(records: Collection<InstanceRecord>) {
        val others = records.filter { it.name != own.name }
        listed = others
        synchronized(registry) { registry.addAddresses(others) }
    }

    /** Returns the instances that run, this one included. */
    fun running(): List<InstanceRecord> = synchronized(registry) { registry.running(clock.nowMs()) }

    /** Returns all other instances that may run. */
    fun others(): List<InstanceRecord> =
        (listed.orEmpty() + running()).associateBy { it.name }.values.filter { it.name != own.name }

    /**
     * Returns the instances that share limits, or null while they aren't known. Listed instances count as running until
     * their heartbeats had time to arrive.
     */
    fun sharing(): Collection<InstanceRecord>? {
        val isSettled = clock.nowMs() - startedAtMs >= STARTUP_GRACE_MS
        return if (isSettled) running() else listed?.let { (it + running()).associateBy { one -> one.name }.values }
    }
}
