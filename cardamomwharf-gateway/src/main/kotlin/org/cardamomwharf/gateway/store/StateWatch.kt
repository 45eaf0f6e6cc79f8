/*
 * Brings what operators and backend servers write in the store into the decisions.
 */
package org.cardamomwharf.gateway.store

import kotlinx.serialization.json.put
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.forward.course.GuardedSteering
import org.cardamomwharf.gateway.WatchTools
import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.steering.belief.DeploymentStore
import org.cardamomwharf.steering.belief.OperatorOrder
import org.cardamomwharf.steering.belief.TableChange
import org.cardamomwharf.steering.servers.ServerRecord

internal class StateWatch(
    store: DeploymentStore,
    private val steering: GuardedSteering,
    tools: WatchTools,
    restoreGraceMs: Long,
    private val onIdleLimit: (Long) -> Unit,
    private val askPeer: (KnownVersions) -> PeerState?,
) {
    private val log = tools.log
    private val evacuated = HashSet<ZoneName>()
    private val orders: TableWatcher<OperatorOrder> =
        TableWatcher("orders", store.orders, tools, 0, ::applyOrders, ::readFromPeer)
    private val servers: TableWatcher<ServerRecord> =
        TableWatcher("servers", store.servers, tools, restoreGraceMs, ::applyServers, ::readFromPeer)

    /** True when the orders and the backend servers have been read. */
    val isKnown: Boolean get() = orders.isKnown && servers.isKnown

    fun start() {
        orders.start()
        servers.start()
    }

    fun expire() {
        servers.expire()
    }

    /** Returns what is known beyond [known], for another instance. */
    fun stateAfter(known: KnownVersions): PeerState =
        PeerState(orders.readingAfter(known.orders), servers.readingAfter(known.servers))

    /** Reads from another instance what this one can't read from the store. */
    private fun readFromPeer() {
        val state = askPeer(KnownVersions(orders.version, servers.version)) ?: return
        state.orders?.let { orders.takeFromPeer(it) }
        state.servers?.let { servers.takeFromPeer(it) }
        if (state.orders != null || state.servers != null) {
            log.event("state-from-peer") {
                put("orders", state.orders?.version)
                put("servers", state.servers?.version)
            }
        }
    }

    private fun applyServers(changes: List<TableChange<ServerRecord>>) {
        steering.decide { decisions, nowMs -> decisions.applyServers(changes, nowMs) }
    }

    @Synchronized
    private fun applyOrders(changes: List<TableChange<OperatorOrder>>) {
        changes.forEach { change ->
            (change.before as? OperatorOrder.Evacuation)?.let { evacuated.remove(it.zone) }
            when (val order = change.after) {
                is OperatorOrder.Evacuation -> evacuated.add(order.zone)
                is OperatorOrder.Desired -> adopt(order)
                null -> Unit
            }
        }
        val zones = evacuated.toSet()
        steering.decide { decisions, nowMs -> decisions.evacuate(zones, nowMs) }
    }

    private fun adopt(order: OperatorOrder.Desired) {
        val isAdopted = steering.decide { decisions, _ -> decisions.routes.adopt(order.state) }
        log.event("desired-state") {
            put("version", order.state.version.value)
            put("adopted", isAdopted)
        }
        if (isAdopted) onIdleLimit(order.state.callerLimits.idleTimeoutMs)
    }
}
