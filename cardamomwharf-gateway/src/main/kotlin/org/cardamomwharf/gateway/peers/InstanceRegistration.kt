/*
 * Makes this instance known to the others through the store, and the others to it.
 */
package org.cardamomwharf.gateway.peers

import com.github.michaelbull.result.getOrElse
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.DeploymentStore

/** Pause before the instances are read or registered again after a failure. */
private const val RETRY_MS = 500L

internal class InstanceRegistration(
    private val store: DeploymentStore,
    private val own: InstanceRecord,
    private val peers: PeerList,
    private val log: DecisionLog,
) {
    fun start() {
        startBackgroundTask("register", log) {
            val isDue = !isDone()
            if (isDue) Thread.sleep(RETRY_MS)
            isDue
        }
    }

    /** Reads which instances registered, and registers this one when it isn't listed as it is. */
    private fun isDone(): Boolean {
        val listed = store.instances.read().getOrElse { null }?.entries ?: return false
        peers.setListed(listed.mapNotNull { it.value })
        return listed.any { it.value == own } || store.register(own).isOk
    }
}
