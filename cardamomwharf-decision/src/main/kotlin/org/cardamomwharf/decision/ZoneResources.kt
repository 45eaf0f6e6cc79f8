/*
 * Updates what the instances of a zone divide among themselves: backend servers, parts of the cap shares, and the
 * shifts that follow from their utilization.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.decision.caps.CapTransition
import org.cardamomwharf.decision.caps.EpochShares
import org.cardamomwharf.decision.caps.adopt
import org.cardamomwharf.decision.caps.computeZoneShares
import org.cardamomwharf.decision.caps.findOldestEpochInUse
import org.cardamomwharf.decision.caps.recordOldestEpoch
import org.cardamomwharf.decision.caps.update
import org.cardamomwharf.decision.claims.removeExpired
import org.cardamomwharf.decision.membership.Membership
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.ownership.recompute
import org.cardamomwharf.decision.requests.createPoolView
import org.cardamomwharf.decision.servers.update
import org.cardamomwharf.decision.shift.ShiftInput
import org.cardamomwharf.decision.shift.advance
import org.cardamomwharf.decision.shift.computeZoneUsage
import org.cardamomwharf.decision.shift.sumByRegion

/** Returns the owned slots and the waiting requests of this instance for each service. */
public fun EntryState.computeLoads(nowMs: Long): List<ServiceLoad> {
    val index = adoption.index ?: return emptyList()
    val zone = membership.self.zone
    return index.document.services
        .filter { index.findPool(it.name, zone) != null }
        .map { service ->
            val view = createPoolView(this, index, service, nowMs)
            ServiceLoad(service.name, view.freeSlots, view.totalSlots, requests.countWaiting(service.name))
        }
}

internal fun StepContext.advanceOwnership() {
    val residuals = sumResiduals(state.membership)
    val servers = state.servers.servers.values.fold(state.servers) { table, server ->
        val residual = residuals[server.name] ?: 0
        if (server.residualSlots == residual) table else table.update(server.name) { it.copy(residualSlots = residual) }
    }
    val ownership = state.ownership.recompute(state.membership, servers.servers.keys, nowMs)
    state = state.copy(
        servers = servers,
        ownership = ownership,
        ownershipUpdatedAtMs = nowMs,
        boundKeys = state.boundKeys.removeExpired(nowMs),
    )
    adjustCapLimiter()
}

private fun sumResiduals(membership: Membership) =
    membership.peers.values
        .flatMap { it.heartbeat.residuals }
        .groupBy({ it.server }, { it.slots })
        .mapValues { (_, slots) -> slots.sum() }

internal fun StepContext.adjustCapLimiter() {
    if (index == null) return
    val transition = recordOldestEpochs(state.capTransition)
    val limiter = state.capLimiter.copy(burstMs = policy.capBurstMs)
    state = state.copy(
        capTransition = transition,
        capLimiter = limiter.update(transition.shares, state.ownership.capParts.size, nowMs),
    )
}

private fun StepContext.recordOldestEpochs(transition: CapTransition): CapTransition {
    val membership = state.membership
    val remoteSummaries = membership.remoteZones.values.map { it.summary }
    val own = transition.recordOldestEpoch(membership.self.zone, findOldestZoneEpoch())
    return remoteSummaries.fold(own) { next, summary ->
        next.recordOldestEpoch(summary.zone, summary.capEpoch)
    }
}

/**
 * Returns the oldest cap epoch that an instance of the own zone may still use. An instance without a heartbeat may use
 * any epoch.
 */
internal fun StepContext.findOldestZoneEpoch(): CapEpoch {
    val membership = state.membership
    val known = membership.peers.values
    val unknown = membership.listed.values.filter { listed ->
        val isOwnZone = listed.zone == membership.self.zone && listed.name != membership.self.name
        isOwnZone && known.none { it.member.name == listed.name }
    }
    if (unknown.isNotEmpty()) return CapEpoch.NONE
    val own = state.capTransition.findOldestEpochInUse(nowMs)
    return known.minOfOrNull { it.heartbeat.capEpoch }?.let { minOf(it, own) } ?: own
}

/** Applies the caps of the document that was adopted under [epoch]. */
internal fun StepContext.adoptCaps(epoch: CapEpoch) {
    val current = index ?: return
    val shares = EpochShares(epoch, computeZoneShares(current, state.membership.self.zone))
    val zones = current.regionByZone.keys - current.document.stoppedZones.toSet()
    state = state.copy(capTransition = state.capTransition.adopt(shares, zones, nowMs))
}

internal fun StepContext.advanceShifts() {
    if (nowMs - state.shifts.plannedAtMs < policy.shiftIntervalMs) return
    val current = index
    val home = current?.regionByZone?.get(state.membership.self.zone)
    if (current == null || home == null) return
    val loads = state.computeLoads(nowMs)
    val uses = current.document.services.associate { service ->
        service.name to sumByRegion(current, computeZoneUsage(state.membership, loads, service.name, nowMs))
    }
    val drained = current.document.services
        .map { it.name }
        .filter { service -> home.zones.all { current.isDrained(service, it, state.epochSeconds) } }
    val input = ShiftInput(current, home.name, uses, drained.toSet(), nowMs)
    state = state.copy(shifts = state.shifts.advance(input))
}
