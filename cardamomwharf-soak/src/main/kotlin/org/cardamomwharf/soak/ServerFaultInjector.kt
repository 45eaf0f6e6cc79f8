/*
 * Injects faults into backend servers and performs planned server changes.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.platform.standin.BackendBehavior
import org.cardamomwharf.platform.standin.write

/** Time for which a leaving server continues to serve; longer than the 2.5 s in which instances must stop using it. */
private const val LEAVE_DELAY_MS = 3_500L

/** Time before an address may be reused; the requirement is 2 s. */
private const val ADDRESS_REUSE_DELAY_MS = 2_000L

internal class ServerFaultInjector(private val cluster: SoakCluster, private val record: SoakRecord) {
    fun inject(fault: Fault.ServerFault) {
        val server = cluster.findServer(fault.target) ?: return
        val fromMs = cluster.clock.nowMs()
        when (fault) {
            is Fault.ServerConnection -> injectConnectionFault(server.relay, fault.connectionFault, fault.durationMs)
            is Fault.Leave -> leave(server, fault.isAddressReused)
            is Fault.Restart -> restart(server, fault.durationMs)
            is Fault.LoseResponses -> loseResponses(server, fault.durationMs)
        }
        recordDisturbance(server, "$fault", fromMs)
    }

    /** Records the disturbance of [server] and of servers that took its address meanwhile. */
    private fun recordDisturbance(server: SoakServer, cause: String, fromMs: Long) {
        val successors = cluster.servers.values.filter { it.relay === server.relay }
        val toMs = cluster.clock.nowMs()
        (successors + server).forEach {
            record.serverDisturbances.add(Disturbance(it.record.name.value, cause, fromMs, toMs))
        }
    }

    private fun leave(server: SoakServer, isAddressReused: Boolean) {
        val leaving = server.record.copy(isDraining = true)
        if (!server.isChanging.compareAndSet(false, true)) return
        if (!isAddressReused) cluster.addServer(leaving.service.value, leaving.zone.value)
        cluster.store.write(leaving)
        record.leaves.add(LeaveRecord(leaving.name.value, cluster.clock.nowMs()))
        Thread.sleep(LEAVE_DELAY_MS)
        cluster.removeServer(server)
        if (isAddressReused) {
            Thread.sleep(ADDRESS_REUSE_DELAY_MS)
            cluster.reuseAddress(server)
            cluster.addServer(leaving.service.value, leaving.zone.value)
        }
    }

    private fun restart(server: SoakServer, durationMs: Long) {
        if (!server.isChanging.compareAndSet(false, true)) return
        server.running?.stop()
        Thread.sleep(durationMs)
        server.running = server.standin.start(server.address)
        cluster.store.write(server.record.copy(startedAtUnixMs = System.currentTimeMillis()))
        server.isChanging.set(false)
    }

    private fun loseResponses(server: SoakServer, durationMs: Long) {
        server.standin.behavior = BackendBehavior(isLosingResponses = true)
        Thread.sleep(durationMs)
        server.standin.behavior = BackendBehavior()
    }
}
