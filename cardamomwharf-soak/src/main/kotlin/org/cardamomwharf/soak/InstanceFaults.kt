/*
 * Injects faults into instances and their ways to the store.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.standin.network.ConnectionFault
import org.cardamomwharf.standin.network.TcpRelay

private const val RESTART_MS = 300L

internal class InstanceFaults(private val world: SoakWorld, private val record: SoakRecord) {
    fun inject(fault: Fault.OfInstance) = when (fault) {
        is Fault.Kill -> restart(listOf(gateway(fault.target)))
        is Fault.KillAll -> restart(world.gateways)
        is Fault.Stop -> stop(gateway(fault.target))
        is Fault.Freeze -> freeze(gateway(fault.target), fault.forMs)
        is Fault.CutStore -> cutStore(fault)
    }

    private fun gateway(target: Int) = world.gateways[target % world.gateways.size]

    private fun restart(gateways: List<GatewayHandle>) {
        gateways.parallelStream().forEach { gateway ->
            disturb(gateway.name, SoakRecord.PROCESS, RESTART_MS) {
                gateway.kill()
                Thread.sleep(RESTART_MS)
                gateway.start()
            }
        }
    }

    private fun stop(gateway: GatewayHandle) = synchronized(gateway) {
        val atMs = world.clock.nowMs()
        disturb(gateway.name, "planned stop", 0) {
            gateway.stop()
            record.stops.add(StopRecord(gateway.name, atMs, world.clock.nowMs()))
            gateway.start()
        }
    }

    private fun freeze(gateway: GatewayHandle, forMs: Long) = disturb(gateway.name, SoakRecord.PROCESS, forMs) {
        gateway.freeze()
        Thread.sleep(forMs)
        gateway.thaw()
    }

    private fun cutStore(fault: Fault.CutStore) {
        val index = fault.target % world.gateways.size
        disturb(world.gateways[index].name, "way to the store", fault.forMs) {
            cut(world.storeWires[index], fault.cut, fault.forMs)
        }
    }

    private fun disturb(who: String, what: String, forMs: Long, act: () -> Unit) =
        record.disturb(world.clock::nowMs, Disturbed(who, what, forMs), act)
}

/** Changes what happens on [wire] for [forMs]. */
internal fun cut(wire: TcpRelay, cut: Cut, forMs: Long) {
    when (cut) {
        Cut.SILENT -> wire.changeFault(ConnectionFault.BLACKHOLE)
        Cut.ANSWERS_LOST -> wire.changeFault(ConnectionFault.RESPONSES_LOST)
        Cut.TRUNCATED -> wire.changeFault(ConnectionFault.TRUNCATING)
        Cut.DOUBLED -> wire.changeFault(ConnectionFault.DUPLICATING)
        Cut.DELAYED -> wire.changeFault(ConnectionFault.DELAYED)
        Cut.RESET -> wire.reset()
    }
    Thread.sleep(forMs)
    wire.changeFault(ConnectionFault.NONE)
}
