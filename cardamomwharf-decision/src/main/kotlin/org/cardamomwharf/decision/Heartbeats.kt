/*
 * Sends heartbeats to all instances of the own zone, periodically and whenever the view of the members has changed.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.decision.caps.findOldestEpochInUse
import org.cardamomwharf.decision.membership.Heartbeat
import org.cardamomwharf.decision.membership.ResidualSlots
import org.cardamomwharf.decision.membership.hashView
import org.cardamomwharf.decision.membership.isJoining
import org.cardamomwharf.decision.membership.listLiveMembers
import org.cardamomwharf.decision.membership.listSettledMembers

internal fun StepContext.sendHeartbeats() {
    val membership = state.membership
    val liveHash = hashView(membership.listLiveMembers(nowMs))
    val settledHash = hashView(membership.listSettledMembers(nowMs))
    val isDue = nowMs - state.heartbeats.sentAtMs >= membership.settings.heartbeatIntervalMs
    val viewHash = liveHash xor settledHash.rotateLeft(1)
    if (!isDue && viewHash == state.heartbeats.viewHash) return
    val loads = state.computeLoads(nowMs)
    val sequence = state.heartbeats.sequence + 1
    val heartbeat = Heartbeat(
        sender = membership.self,
        sequence = sequence,
        isLeaving = membership.isLeaving,
        isJoining = membership.isJoining(nowMs),
        liveViewHash = liveHash,
        settledViewHash = settledHash,
        documentVersion = state.adoption.version,
        loads = loads,
        residuals = listResiduals(),
        capEpoch = state.capTransition.findOldestEpochInUse(nowMs),
    )
    state = state.copy(
        heartbeats = state.heartbeats.copy(sequence = sequence, sentAtMs = nowMs, viewHash = viewHash, loads = loads),
    )
    emit(EntryEffect.SendHeartbeat(heartbeat, findZoneAddresses()))
    val isSummaryDue = nowMs - state.heartbeats.summarySentAtMs >= membership.settings.summaryIntervalMs
    if (isSummaryDue) sendSummaries(sequence, loads)
}

private fun StepContext.listResiduals(): List<ResidualSlots> =
    state.servers.servers.values
        .filter { it.inFlight > 0 && it.name !in state.ownership.servers }
        .map { ResidualSlots(it.name, it.inFlight) }
        .sortedBy { it.server.value }

/** Returns the addresses of all other instances of the own zone, from heartbeats and the platform list. */
internal fun StepContext.findZoneAddresses(): List<PeerAddress> {
    val self = state.membership.self
    val known = state.membership.peers.values.map { PeerAddress(it.member.name, it.member.peerAddress) }
    val listed = state.membership.listed.values
        .filter { it.zone == self.zone }
        .map { PeerAddress(it.name, it.peerAddress) }
    return (known + listed)
        .distinctBy { it.name }
        .filter { it.name != self.name }
        .sortedBy { it.name.value }
}
