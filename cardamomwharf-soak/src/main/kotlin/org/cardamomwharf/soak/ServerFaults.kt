/*
 * Injects faults into backend servers, and makes planned changes of them.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.platform.standin.BackendBehavior
import org.cardamomwharf.platform.standin.write

/** Time for which a leaving server serves on; the users name 2.5 s and a little longer. */
private const val SERVE_ON_MS = 3_500L

/** Time after which an address may be used again; the users name 2 s. */
private const val REUSE_AFTER_MS = 2_000L

internal class ServerFaults(private val world: SoakWorld, private val record: SoakRecord) {
    fun inject(fault: Fault.OfServer) {
        val server = world.find(fault.target) ?: return
        when (fault) {
            is Fault.CutServer -> cut(server.relay, fault.cut, fault.forMs)
            is Fault.Leave -> leave(server, fault.isAddressReused)
            is Fault.Restart -> restart(server, fault.forMs)
            is Fault.LoseAnswers -> loseAnswers(server, fault.forMs)
        }
    }

    private fun leave(server: SoakServer, isAddressReused: Boolean) {
        val leaving = server.record.copy(isDraining = true)
        if (!server.isLeaving.compareAndSet(false, true)) return
        if (!isAddressReused) world.addServer(leaving.service.value, leaving.zone.value)
        world.store.write(leaving)
        record.leaves.add(LeaveRecord(leaving.name.value, world.clock.nowMs()))
        Thread.sleep(SERVE_ON_MS)
        world.end(server)
        if (isAddressReused) {
            Thread.sleep(REUSE_AFTER_MS)
            world.reuseAddress(server)
            world.addServer(leaving.service.value, leaving.zone.value)
        }
    }

    private fun restart(server: SoakServer, forMs: Long) {
        if (!server.isLeaving.compareAndSet(false, true)) return
        server.running?.stop()
        Thread.sleep(forMs)
        server.running = server.standin.start(server.real)
        world.store.write(server.record.copy(startedAtUnixMs = System.currentTimeMillis()))
        server.isLeaving.set(false)
    }

    private fun loseAnswers(server: SoakServer, forMs: Long) {
        server.standin.behavior = BackendBehavior(isLosingResponses = true)
        Thread.sleep(forMs)
        server.standin.behavior = BackendBehavior()
    }
}
