/*
 * Summaries of the own zone for the delegates of other zones, and those of other zones for the own peers.
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

internal fun Turn.sendSummaries(sequence: Long, loads: List<ServiceLoad>) {
    val membership = state.membership
    val zones = membership.listed.values.map { it.zone }.distinct().filter { it != membership.self.zone }
    val summary = summarize(sequence, loads)
    for (zone in zones.sortedBy { it.value }) {
        if (!membership.isDelegateFor(zone, nowMs)) continue
        add(EntryEffect.SendSummary(summary, zone, findDelegates(zone)))
    }
}

private fun Turn.findDelegates(zone: ZoneName): List<PeerAddress> {
    val membership = state.membership
    val heard = membership.remoteZones[zone]?.summary?.members.orEmpty().map {
        PeerAddress(it.member.name, it.member.peerAddress)
    }
    val listed = membership.listed.values
        .filter { it.zone == zone && !it.isLeaving }
        .map { PeerAddress(it.name, it.peerAddress) }
    val known = (heard + listed).distinctBy { it.name }
    return rendezvousTop(membership.self.zone.value, known, membership.settings.delegateCount) { it.name.value }
}

private fun Turn.summarize(sequence: Long, loads: List<ServiceLoad>): ZoneSummary {
    val membership = state.membership
    val own = SummaryMember(membership.self, membership.isLeaving, loads)
    val peers = membership.findLivePeers(nowMs)
        .map { SummaryMember(it.member, isLeaving = false, it.heartbeat.loads) }
    val all = (if (membership.isLeaving) peers else peers + own).sortedBy { it.member.name.value }
    val shown = rendezvousTop(membership.self.zone.value, all, membership.settings.summaryMembers) {
        it.member.name.value
    }
    return ZoneSummary(membership.self.zone, sequence, state.adoption.version, shown, sumLoads(all))
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

internal fun Turn.passOn(summary: ZoneSummary) {
    if (summary.zone == state.membership.self.zone) return
    add(EntryEffect.PassOnSummary(summary, findZoneAddresses()))
}
