/*
 * Sends summaries of the own zone to the delegates of other zones, and relays the summaries of other zones to peers.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.rendezvousTop
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.membership.SummaryMember
import org.cardamomwharf.decision.membership.ZoneSummary
import org.cardamomwharf.decision.membership.findLivePeers
import org.cardamomwharf.decision.membership.isDelegateFor
import org.cardamomwharf.decision.membership.listLiveMembers

internal fun StepContext.sendSummaries(sequence: Long, loads: List<ServiceLoad>) {
    val membership = state.membership
    state = state.copy(heartbeats = state.heartbeats.copy(summarySentAtMs = nowMs))
    val zones = membership.listed.values.map { it.zone }.distinct().filter { it != membership.self.zone }
    val summary = summarize(sequence, loads)
    for (zone in zones.sortedBy { it.value }) {
        if (!membership.isDelegateFor(zone, nowMs)) continue
        emit(EntryEffect.SendSummary(summary, zone, findDelegates(zone)))
    }
}

private fun StepContext.findDelegates(zone: ZoneName): List<PeerAddress> {
    val membership = state.membership
    val reported = membership.remoteZones[zone]?.summary?.members.orEmpty().map {
        PeerAddress(it.member.name, it.member.peerAddress)
    }
    val listed = membership.listed.values
        .filter { it.zone == zone && !it.isLeaving }
        .map { PeerAddress(it.name, it.peerAddress) }
    val known = (reported + listed).distinctBy { it.name }
    return rendezvousTop(membership.self.zone.value, known, membership.settings.delegateCount) { it.name.value }
}

private fun StepContext.summarize(sequence: Long, loads: List<ServiceLoad>): ZoneSummary {
    val membership = state.membership
    val own = SummaryMember(membership.self, membership.isLeaving, loads)
    val peers = membership.findLivePeers(nowMs)
        .map { SummaryMember(it.member, isLeaving = false, it.heartbeat.loads) }
    val all = (if (membership.isLeaving) peers else peers + own).sortedBy { it.member.name.value }
    val shown = rendezvousTop(membership.self.zone.value, all, membership.settings.summaryMembers) {
        it.member.name.value
    }
    return ZoneSummary(
        membership.self.zone,
        sequence,
        state.adoption.version,
        shown,
        sumLoads(all),
        findOldestZoneEpoch()
    )
}

private fun sumLoads(members: List<SummaryMember>): List<ServiceLoad> =
    members.flatMap { it.loads }
        .groupBy { it.service }
        .map { (service: ServiceName, loads) ->
            ServiceLoad(
                service,
                loads.sumOf { it.freeSlots },
                loads.sumOf { it.totalSlots },
                loads.sumOf { it.waiting }
            )
        }

internal fun StepContext.relaySummary(summary: ZoneSummary) {
    if (summary.zone == state.membership.self.zone || !isRelayDue(summary.zone)) return
    state = state.copy(summaryRelayedAtMs = state.summaryRelayedAtMs.put(summary.zone, nowMs))
    emit(EntryEffect.RelaySummary(summary, findZoneAddresses()))
}

/** Records that another delegate relayed a summary. */
internal fun StepContext.recordSummaryRelay(summary: ZoneSummary) {
    state = state.copy(summaryRelayedAtMs = state.summaryRelayedAtMs.put(summary.zone, nowMs))
}

/**
 * Returns true when this instance must relay a summary of [zone]. The first delegate relays once per interval, the
 * others only when nothing has been relayed for longer than an interval.
 */
private fun StepContext.isRelayDue(zone: ZoneName): Boolean {
    val membership = state.membership
    val intervalMs = membership.settings.summaryIntervalMs
    val live = membership.listLiveMembers(nowMs)
    val rank = rendezvousTop(zone.value, live, membership.settings.delegateCount) { it.value }
        .indexOf(membership.self.name)
    val silenceMs = if (rank == 0) intervalMs / 2 else intervalMs + intervalMs / 2
    return nowMs - (state.summaryRelayedAtMs[zone] ?: Long.MIN_VALUE / 2) >= silenceMs
}
