/*
 * What changes hands between the instances of a zone: backend servers, parts of cap shares, and the shifts that
 * follow from their use.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.decision.caps.advance
import org.cardamomwharf.decision.caps.computeZoneShares
import org.cardamomwharf.decision.claims.expire
import org.cardamomwharf.decision.membership.Membership
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.ownership.advance
import org.cardamomwharf.decision.requests.poolViewOf
import org.cardamomwharf.decision.servers.change
import org.cardamomwharf.decision.shift.ShiftInput
import org.cardamomwharf.decision.shift.advance
import org.cardamomwharf.decision.shift.computeZoneUse
import org.cardamomwharf.decision.shift.sumByRegion

/** Returns the slots of each service that this instance owns. */
public fun EntryState.computeLoads(nowMs: Long): List<ServiceLoad> {
    val index = adoption.index ?: return emptyList()
    val zone = membership.self.zone
    return index.document.services
        .filter { index.findPool(it.name, zone) != null }
        .map { service ->
            val view = poolViewOf(this, index, service, nowMs)
            ServiceLoad(service.name, view.freeSlots, view.totalSlots, requests.countWaiting(service.name))
        }
}

internal fun Turn.advanceOwnership() {
    val residuals = sumResiduals(state.membership)
    val servers = state.servers.servers.values.fold(state.servers) { table, server ->
        val residual = residuals[server.name] ?: 0
        if (server.residual == residual) table else table.change(server.name) { it.copy(residual = residual) }
    }
    val ownership = state.ownership.advance(state.membership, servers.servers.keys, nowMs)
    state = state.copy(
        servers = servers,
        ownership = ownership,
        ownershipAtMs = nowMs,
        boundKeys = state.boundKeys.expire(nowMs),
    )
    adjustLedger()
}

private fun sumResiduals(membership: Membership) =
    membership.peers.values
        .flatMap { it.heartbeat.residuals }
        .groupBy({ it.server }, { it.slots })
        .mapValues { (_, slots) -> slots.sum() }

internal fun Turn.adjustLedger() {
    val current = index ?: return
    val shares = computeZoneShares(current, state.membership.self.zone)
    val ledger = state.ledger.copy(burstMs = policy.capBurstMs)
    state = state.copy(ledger = ledger.advance(shares, state.ownership.capParts.size, nowMs))
}

internal fun Turn.advanceShifts() {
    if (nowMs - state.shifts.plannedAtMs < policy.shiftIntervalMs) return
    val current = index
    val home = current?.regionOf?.get(state.membership.self.zone)
    if (current == null || home == null) return
    val loads = state.computeLoads(nowMs)
    val uses = current.document.services.associate { service ->
        service.name to sumByRegion(current, computeZoneUse(state.membership, loads, service.name, nowMs))
    }
    val drained = current.document.services
        .map { it.name }
        .filter { service -> home.zones.all { current.isDrained(service, it, state.epochSeconds) } }
    val input = ShiftInput(current, home.name, uses, drained.toSet(), nowMs)
    state = state.copy(shifts = state.shifts.advance(input))
}
