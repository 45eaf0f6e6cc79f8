/*
 * Brings what operators and backend servers write in the store into the decisions.
 */
package org.cardamomwharf.gateway.store

import kotlinx.serialization.json.put
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.DeploymentStore
import org.cardamomwharf.steering.store.OperatorOrder
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.store.TableChange

/** Is told what follows from the store beyond the decisions. */
internal interface StoreListener {
    /** New limits for callers are in force. */
    fun onCallerLimits(limits: CallerLimits)

    /** Something changed. */
    fun onChange()
}

internal class StoreWatcher(
    store: DeploymentStore,
    private val steering: SynchronizedSteering,
    tools: TaskContext,
    restoreGraceMs: Long,
    duty: WatcherRole,
    private val listener: StoreListener,
) {
    private val log = tools.log
    private val clock = tools.clock
    private val evacuated = HashSet<ZoneName>()
    private val orders: TableWatcher<OperatorOrder> =
        TableWatcher("orders", store.orders, tools, 0, duty, ::applyOrders)
    private val servers: TableWatcher<ServerRecord> =
        TableWatcher("servers", store.servers, tools, restoreGraceMs, duty, ::applyServers)

    /** True when the orders and the backend servers have been read. */
    val isKnown: Boolean get() = orders.known.isKnown && servers.known.isKnown

    fun start() {
        orders.start()
        servers.start()
    }

    fun expire() {
        servers.known.expire()
    }

    /** The versions up to which everything is known. */
    val known: KnownVersions get() = KnownVersions(orders.known.version, servers.known.version)

    /** The newest entries that are known. */
    val content: ContentVersions get() = ContentVersions(orders.known.contentVersion, servers.known.contentVersion)

    /** Returns what other instances are told about the store. */
    fun news(): StoreStatus {
        val nowMs = clock.nowMs()
        val silentForMs = maxOf(orders.silentForMs(nowMs), servers.silentForMs(nowMs))
        return StoreStatus(content, silentForMs, orders.isFailing || servers.isFailing)
    }

    /** Returns what is known beyond [known], for another instance. */
    fun stateSince(known: KnownVersions): PeerState = PeerState(
        orders.known.updateSince(known.orders),
        servers.known.updateSince(known.servers),
        servers.known.remainingGraceMs(),
    )

    /** Takes what another instance knows of the store. */
    fun applyFromPeer(state: PeerState) {
        state.orders?.let { orders.known.applyFromPeer(it, 0) }
        state.servers?.let { servers.known.applyFromPeer(it, state.remainingGraceMs) }
        if (state.orders != null || state.servers != null) {
            log.event("state-from-peer") {
                put("orders", state.orders?.version)
                put("servers", state.servers?.version)
            }
        }
    }

    private fun applyServers(changes: List<TableChange<ServerRecord>>) {
        steering.withLock { decisions, nowMs -> decisions.applyServers(changes, nowMs) }
        listener.onChange()
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
        steering.withLock { decisions, nowMs -> decisions.evacuate(zones, nowMs) }
        listener.onChange()
    }

    private fun adopt(order: OperatorOrder.Desired) {
        val isAdopted = steering.withLock { decisions, _ -> decisions.routes.adopt(order.state) }
        log.event("desired-state") {
            put("version", order.state.version.value)
            put("adopted", isAdopted)
        }
        if (isAdopted) listener.onCallerLimits(order.state.callerLimits)
    }
}
