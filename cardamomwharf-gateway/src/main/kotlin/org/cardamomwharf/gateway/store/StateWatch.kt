/*
 * Brings what operators and backend servers write in the store into the decisions.
 */
package org.cardamomwharf.gateway.store

import kotlinx.serialization.json.put
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.forward.course.GuardedSteering
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.steering.belief.DeploymentStore
import org.cardamomwharf.steering.belief.OperatorOrder
import org.cardamomwharf.steering.belief.TableChange

internal class StateWatch(
    store: DeploymentStore,
    private val steering: GuardedSteering,
    clock: Clock,
    private val log: DecisionLog,
    restoreGraceMs: Long,
    private val onIdleLimit: (Long) -> Unit,
) {
    private val evacuated = HashSet<ZoneName>()
    private val orders = TableWatcher("orders", store.orders, clock, log, 0, ::applyOrders)
    private val servers = TableWatcher("servers", store.servers, clock, log, restoreGraceMs) { changes ->
        steering.decide { decisions, nowMs -> decisions.applyServers(changes, nowMs) }
    }

    /** True when the orders and the backend servers have been read. */
    val isKnown: Boolean get() = orders.isKnown && servers.isKnown

    fun start() {
        orders.start()
        servers.start()
    }

    fun expire() {
        servers.expire()
    }

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
        val isAdopted = steering.decide { decisions, _ -> decisions.adopt(order.state) }
        log.event("desired-state") {
            put("version", order.state.version.value)
            put("adopted", isAdopted)
        }
        if (isAdopted) onIdleLimit(order.state.callerLimits.idleTimeoutMs)
    }
}
