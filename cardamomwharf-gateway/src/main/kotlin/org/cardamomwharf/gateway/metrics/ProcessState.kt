/*
 * Collects the state of the process as numbers for the decision log and the metrics.
 */
package org.cardamomwharf.gateway.metrics

import org.cardamomwharf.core.Clock
import org.cardamomwharf.forward.proxy.ForwardingContext
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.forward.server.ConnectionPool
import org.cardamomwharf.steering.instances.InstanceRegistry

private const val BYTES_PER_KB = 1_024

internal class ProcessState(
    private val forwarding: ForwardingContext,
    private val pool: ConnectionPool,
    private val steering: SynchronizedSteering,
    private val registry: InstanceRegistry,
    private val clock: Clock,
) {
    /** Returns the values by name. */
    fun read(): Map<String, Long> {
        val runtime = Runtime.getRuntime()
        val proofAgeMs = steering.withLock { decisions, nowMs -> decisions.callers.proof.ageMs(nowMs) }
        return mapOf(
            "heapUsedKb" to (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_KB,
            "requestsUnderWay" to forwarding.requestsInFlight.toLong(),
            "bodyBytes" to forwarding.bodyBytes,
            "serverConnections" to pool.openConnections.toLong(),
            "serverConnectionsOpened" to pool.openedCount.get().toLong(),
            "desiredVersion" to steering.withLock { decisions, _ -> decisions.routes.desired?.version?.value ?: 0L },
            "instances" to synchronized(registry) { registry.running(clock.nowMs()) }.size.toLong(),
            "keyProofAgeMs" to proofAgeMs,
        ).mapNotNull { (name, value) -> value?.let { name to it } }.toMap()
    }
}
