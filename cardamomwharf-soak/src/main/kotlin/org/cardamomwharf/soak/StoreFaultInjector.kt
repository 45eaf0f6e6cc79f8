/*
 * Injects faults into the store and writes the changes of operators to it.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.platform.standin.StoreFaults
import org.cardamomwharf.platform.standin.setEvacuated

private const val SLOW_STORE_MS = 400L
private const val LOST_RESPONSE_INTERVAL = 2

internal class StoreFaultInjector(private val cluster: SoakCluster, private val record: SoakRecord) {
    fun inject(fault: Fault.StoreFault) {
        when (fault) {
            is Fault.StoreFailure -> recordDisturbance("${fault.kind}", fault.durationMs) { injectFailure(fault) }
            is Fault.DropHistory -> recordDisturbance("history", 0) { cluster.store.clearHistory() }
            is Fault.Reconfigure -> cluster.reconfigure()
            is Fault.Evacuate -> evacuate(cluster.gateways[fault.target % cluster.gateways.size].zone, fault.durationMs)
        }
    }

    private fun injectFailure(fault: Fault.StoreFailure) {
        cluster.store.faults = when (fault.kind) {
            StoreFailureKind.REFUSING -> StoreFaults(isRefusing = true)
            StoreFailureKind.SLOW -> StoreFaults(delayMs = SLOW_STORE_MS)
            StoreFailureKind.LOSING -> StoreFaults(lostResponseInterval = LOST_RESPONSE_INTERVAL)
        }
        Thread.sleep(fault.durationMs)
        cluster.store.faults = StoreFaults()
    }

    private fun evacuate(zone: String, durationMs: Long) {
        cluster.store.setEvacuated(ZoneName(zone), true)
        Thread.sleep(durationMs)
        cluster.store.setEvacuated(ZoneName(zone), false)
    }

    private fun recordDisturbance(cause: String, durationMs: Long, action: () -> Unit) =
        record.recordDisturbance(cluster.clock::nowMs, PlannedDisturbance(SoakRecord.STORE, cause, durationMs), action)
}
