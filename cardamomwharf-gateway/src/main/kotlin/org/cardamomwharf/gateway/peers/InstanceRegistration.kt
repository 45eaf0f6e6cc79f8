/*
 * Registers this instance in the store and reads the other registered instances.
 */
package org.cardamomwharf.gateway.peers

import com.github.michaelbull.result.getOrElse
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.DeploymentStore

/** Delay before the instances are read again or the registration is retried. */
private const val RETRY_DELAY_MS = 500L

internal class InstanceRegistration(
    private val store: DeploymentStore,
    private val own: InstanceRecord,
    private val peers: PeerList,
    private val log: DecisionLog,
) {
    fun start() {
        startBackgroundTask("register", log) {
            val isRetryDue = !ensureRegistered()
            if (isRetryDue) Thread.sleep(RETRY_DELAY_MS)
            isRetryDue
        }
    }

    /** Reads the registered instances and registers this one if needed; returns true when its record is up to date. */
    private fun ensureRegistered(): Boolean {
        val registered = store.instances.read().getOrElse { null }?.entries ?: return false
        peers.setRegistered(registered.mapNotNull { it.value })
        return registered.any { it.value == own } || store.register(own).isOk
    }
}
