/*
 * Creates the view for look-ups from the state of an instance.
 */
package org.cardamomwharf.decision.lookup

import org.cardamomwharf.decision.EntryState
import org.cardamomwharf.decision.computeLoads
import org.cardamomwharf.decision.membership.findLivePeers
import org.cardamomwharf.decision.membership.findRemoteZones

/** Returns the look-up view at [nowMs], or null before a document was adopted. */
public fun createLookupView(state: EntryState, nowMs: Long): LookupView? {
    val index = state.adoption.index
    val home = index?.regionByZone?.get(state.membership.self.zone)?.name
    if (index == null || home == null) return null
    val drained = index.document.services.flatMap { service ->
        service.pools
            .filter { index.isDrained(service.name, it.zone, state.epochSeconds) }
            .map { DrainedPool(service.name, it.zone) }
    }
    return LookupView(
        index = index,
        version = state.adoption.version,
        home = home,
        candidates = listCandidates(state, nowMs),
        splits = state.shifts.splits,
        drained = drained.toSet(),
    )
}

private fun listCandidates(state: EntryState, nowMs: Long): List<LookupCandidate> {
    val membership = state.membership
    val own = LookupCandidate(membership.self, state.computeLoads(nowMs))
    val peers = membership.findLivePeers(nowMs).map { LookupCandidate(it.member, it.heartbeat.loads) }
    val remote = membership.findRemoteZones(nowMs)
        .flatMap { it.members }
        .filter { !it.isLeaving }
        .map { LookupCandidate(it.member, it.loads) }
    val others = (peers + remote).filter { !state.suspects.isSuspect(it.member.name, nowMs) }
    return if (membership.isLeaving) others else others + own
}
