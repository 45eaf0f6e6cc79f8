/*
 * Watches the tables of the store that operators and backend servers write, and applies their changes to steering.
 */
package org.cardamomwharf.gateway.store

import kotlinx.serialization.json.put
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.DeploymentStore
import org.cardamomwharf.steering.store.OperatorOrder
import org.cardamomwharf.steering.store.RestorePolicy
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.store.TableChange
import org.cardamomwharf.steering.store.mergeOrders
import org.cardamomwharf.steering.store.mergeServers
import org.cardamomwharf.steering.teams.createConfirmationTimes

internal class StoreWatcher(
    store: DeploymentStore,
    private val steering: SynchronizedSteering,
    context: TaskContext,
    parameters: SteeringParameters,
    role: WatcherRole,
    private val listener: StoreListener,
) {
    private val log = context.log
    private val clock = context.clock
    private val evacuatedZones = HashSet<ZoneName>()

    /** The confirmation of the configuration. */
    val confirmation: ConfigurationConfirmation = ConfigurationConfirmation(
        steering,
        parameters.teams.maxKeyAgeMs?.let(::createConfirmationTimes),
    )
    private val orders: TableWatcher<OperatorOrder> = TableWatcher(
        "orders",
        store.orders,
        context,
        RestorePolicy(outageGraceMs = 0, parameters.restoreGraceMs, parameters.revivalDelayMs, ::mergeOrders),
        ConfirmingRole(role, confirmation),
        ::applyOrders,
    )
    private val servers: TableWatcher<ServerRecord> = TableWatcher(
        "servers",
        store.servers,
        context,
        RestorePolicy(
            parameters.restoreGraceMs,
            parameters.restoreGraceMs,
            parameters.revivalDelayMs,
            ::mergeServers,
        ),
        role,
        ::applyServers,
    )

    /** True when the orders and the backend servers have been read. */
    val isReady: Boolean get() = orders.table.isLoaded && servers.table.isLoaded

    /** The watchers of the tables. */
    val tableWatchers: List<TableWatcher<*>> get() = listOf(orders, servers)

    fun start() = tableWatchers.forEach { it.start() }

    /** The latest epoch of the store that is known. */
    val epoch: Long get() = maxOf(orders.table.version.epoch, servers.table.version.epoch)

    fun expire() {
        tableWatchers.forEach { it.table.expire() }
    }

    /** Table versions up to which all changes are known. */
    val knownVersions: KnownVersions get() = KnownVersions(orders.table.version, servers.table.version)

    /** Versions of the newest known entries. */
    val contentVersions: ContentVersions
        get() = ContentVersions(orders.table.contentVersion, servers.table.contentVersion)

    /** Returns the store status that is reported to other instances. */
    fun status(): StoreStatus {
        val nowMs = clock.nowMs()
        val silentForMs = maxOf(orders.silentForMs(nowMs), servers.silentForMs(nowMs))
        val isFailing = orders.isFailing || servers.isFailing || confirmation.isUnreliable
        return StoreStatus(contentVersions, silentForMs, isFailing)
    }

    /** Returns the changes since [known] for another instance. */
    fun stateSince(known: KnownVersions): PeerState = PeerState(
        orders.table.updateSince(known.orders),
        servers.table.updateSince(known.servers),
        servers.table.remainingGraceMs(),
        confirmation.toSend(),
    )

    /** Applies the store state received from another instance, which was asked for it at [askedAtMs]. */
    fun applyFromPeer(state: PeerState, askedAtMs: Long) {
        state.orders?.let { orders.table.applyFromPeer(it, 0) }
        state.servers?.let { servers.table.applyFromPeer(it, state.remainingGraceMs) }
        state.confirmation?.let { confirmation.receive(it, askedAtMs) }
        if (state.orders != null || state.servers != null) {
            log.event("state-from-peer") {
                put("orders", state.orders?.version)
                put("servers", state.servers?.version)
                put("epoch", state.orders?.epoch ?: state.servers?.epoch)
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
            (change.before as? OperatorOrder.Evacuation)?.let { evacuatedZones.remove(it.zone) }
            if (change.before is OperatorOrder.Desired) confirmation.isReadable = false
            when (val order = change.after) {
                is OperatorOrder.Evacuation -> evacuatedZones.add(order.zone)
                is OperatorOrder.Desired -> adopt(order)
                null -> Unit
            }
        }
        val zones = evacuatedZones.toSet()
        steering.withLock { decisions, nowMs -> decisions.evacuate(zones, nowMs) }
        listener.onChange()
    }

    private fun adopt(order: OperatorOrder.Desired) {
        confirmation.isReadable = true
        val isAdopted = steering.withLock { decisions, _ -> decisions.routes.adopt(order.state) }
        log.event("desired-state") {
            put("version", order.state.version.value)
            put("adopted", isAdopted)
        }
        if (isAdopted) listener.onCallerLimits(order.state.callerLimits)
    }
}
