/*
 * Injects faults into instances and their connections to the store.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.standin.network.RelayFault
import org.cardamomwharf.standin.network.TcpRelay

private const val RESTART_MS = 300L

internal class InstanceFaultInjector(private val cluster: SoakCluster, private val record: SoakRecord) {
    fun inject(fault: Fault.InstanceFault) = when (fault) {
        is Fault.Kill -> restart(listOf(gateway(fault.target)))
        is Fault.KillAll -> restart(cluster.gateways)
        is Fault.Stop -> stop(gateway(fault.target), fault)
        is Fault.Reload -> reload(gateway(fault.target), fault.isChanged)
        is Fault.Pause -> pause(gateway(fault.target), fault.durationMs)
        is Fault.StoreConnection -> injectStoreConnectionFault(fault)
    }

    private fun gateway(target: Int) = cluster.gateways[target % cluster.gateways.size]

    private fun restart(gateways: List<GatewayProcess>) {
        gateways.parallelStream().forEach { gateway ->
            recordDisturbance(gateway.name, SoakRecord.PROCESS, RESTART_MS) {
                gateway.kill()
                Thread.sleep(RESTART_MS)
                gateway.start()
            }
        }
    }

    private fun stop(gateway: GatewayProcess, fault: Fault.Stop) = synchronized(gateway) {
        stopOnce(gateway, fault.steps)
        fault.restarts.forEach { restart ->
            if (restart.isAfterOpening) gateway.awaitOpening()
            Thread.sleep(restart.ageMs)
            stopOnce(gateway, fault.steps)
        }
    }

    private fun stopOnce(gateway: GatewayProcess, steps: List<StopStep>) {
        val preparation = steps.takeWhile { it.action != StopAction.TERMINATE }
        preparation.forEach { perform(gateway, it) }
        val atMs = cluster.clock.nowMs()
        recordDisturbance(gateway.name, "planned stop", 0) {
            steps.drop(preparation.size).forEach { perform(gateway, it) }
            gateway.awaitExit()
            record.stops.add(StopRecord(gateway.name, atMs, cluster.clock.nowMs()))
            gateway.start()
        }
    }

    private fun perform(gateway: GatewayProcess, step: StopStep) {
        Thread.sleep(step.delayMs)
        when (step.action) {
            StopAction.TERMINATE -> gateway.terminate()
            StopAction.HANG_UP -> gateway.hangUp()
            StopAction.RECONFIGURE -> cluster.reconfigure()
        }
    }

    private fun reload(gateway: GatewayProcess, isChanged: Boolean) {
        gateway.awaitOpening()
        if (isChanged) gateway.changeSettings(isChanged = true)
        gateway.hangUp()
    }

    private fun pause(gateway: GatewayProcess, durationMs: Long) =
        recordDisturbance(gateway.name, SoakRecord.PROCESS, durationMs) {
            gateway.pause()
            Thread.sleep(durationMs)
            gateway.resume()
        }

    private fun injectStoreConnectionFault(fault: Fault.StoreConnection) {
        val index = fault.target % cluster.gateways.size
        recordDisturbance(cluster.gateways[index].name, "store connection", fault.durationMs) {
            injectConnectionFault(cluster.storeRelays[index], fault.connectionFault, fault.durationMs)
        }
    }

    private fun recordDisturbance(target: String, cause: String, durationMs: Long, action: () -> Unit) =
        record.recordDisturbance(cluster.clock::nowMs, PlannedDisturbance(target, cause, durationMs), action)
}

/** Injects [fault] into the connections through [relay] for [durationMs]. */
internal fun injectConnectionFault(relay: TcpRelay, fault: ConnectionFault, durationMs: Long) {
    when (fault) {
        ConnectionFault.SILENT -> relay.changeFault(RelayFault.BLACKHOLE)
        ConnectionFault.RESPONSES_LOST -> relay.changeFault(RelayFault.RESPONSES_LOST)
        ConnectionFault.TRUNCATED -> relay.changeFault(RelayFault.TRUNCATING)
        ConnectionFault.DUPLICATED -> relay.changeFault(RelayFault.DUPLICATING)
        ConnectionFault.DELAYED -> relay.changeFault(RelayFault.DELAYED)
        ConnectionFault.RESET -> relay.reset()
    }
    Thread.sleep(durationMs)
    relay.changeFault(RelayFault.NONE)
}
