/*
 * Registers this instance in the store and reads the other registered instances. A restore of the store may lose the
 * registration, so it is repeated in each epoch of the store.
 */
package org.cardamomwharf.gateway.peers

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.put
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.DeploymentStore
import kotlin.random.Random

/** Delay before the instances are read again or the registration is retried. */
private const val RETRY_DELAY_MS = 500L

/** Bounds of the interval between checks for another epoch; random, so that instances don't read all at once. */
private const val MIN_CHECK_INTERVAL_MS = 500L
private const val MAX_CHECK_INTERVAL_MS = 1_500L

internal class InstanceRegistration(
    private val store: DeploymentStore,
    private val own: InstanceRecord,
    private val peers: PeerList,
    private val log: DecisionLog,
    private val currentEpoch: () -> Long,
) {
    private var registeredInEpoch: Long? = null

    fun start() {
        startBackgroundTask("register", log) {
            Thread.sleep(step())
            true
        }
    }

    /** Registers this instance unless it is known to be registered, and returns the time until the next step. */
    fun step(): Long {
        val knownEpoch = registeredInEpoch
        if (knownEpoch != null && knownEpoch >= currentEpoch()) {
            return Random.nextLong(MIN_CHECK_INTERVAL_MS, MAX_CHECK_INTERVAL_MS)
        }
        registeredInEpoch = ensureRegistered()
        return RETRY_DELAY_MS
    }

    /**
     * Reads the registered instances and registers this one if needed. Returns the epoch in which it is registered, or
     * null when that is unknown.
     */
    private fun ensureRegistered(): Long? {
        val read = store.instances.read().getOrElse { return null }
        peers.setRegistered(read.entries.mapNotNull { it.value })
        val isRegistered = read.entries.any { it.value == own } || store.register(own).isOk
        log.event("registered") {
            put("epoch", read.epoch)
            put("confirmed", isRegistered)
            put("instances", read.entries.size)
        }
        return if (isRegistered) read.epoch else null
    }
}
