/*
 * Handles new versions of the environment document, announced by the store or by peers.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.decision.adoption.adopt
import org.cardamomwharf.decision.adoption.recordFetchFailure
import org.cardamomwharf.decision.adoption.startFetch
import org.cardamomwharf.decision.membership.findNewestVersion
import org.cardamomwharf.decision.requests.dispatchWaiting

internal fun StepContext.handleDocumentEvent(event: EntryEvent) {
    when (event) {
        is EntryEvent.HeadRead -> fetchIfNewer(event)
        is EntryEvent.DocumentFetched -> adoptDocument(event)
        else -> state = state.copy(adoption = state.adoption.recordFetchFailure())
    }
}

private fun StepContext.fetchIfNewer(event: EntryEvent.HeadRead) {
    if (!state.adoption.shouldFetch(event.head.version, nowMs)) return
    state = state.copy(adoption = state.adoption.startFetch(event.head.version, nowMs))
    emit(EntryEffect.FetchDocument(event.head))
}

private fun StepContext.adoptDocument(event: EntryEvent.DocumentFetched) {
    val newIndex = DocumentIndex(event.document)
    val next = state.adoption.adopt(event.head, newIndex, nowMs)
    val isAdopted = next !== state.adoption
    state = state.copy(adoption = next)
    if (!isAdopted) return
    emit(EntryEffect.DocumentAdopted(event.head))
    adoptCaps(event.head.capEpoch)
    advanceOwnership()
    dispatchWaiting()
}

/** Fetches the newest document from a peer that has it, which also works while the store is unreachable. */
internal fun StepContext.fetchNewerDocumentFromPeer() {
    val membership = state.membership
    val newest = membership.findNewestVersion()
    if (!state.adoption.shouldFetch(newest, nowMs)) return
    val near = membership.peers.values
        .filter { it.heartbeat.documentVersion == newest }
        .map { it.member }
    val far = membership.remoteZones.values
        .filter { it.summary.documentVersion == newest }
        .flatMap { zone -> zone.summary.members.map { it.member } }
    val source = (near + far).minByOrNull { it.name.value } ?: return
    state = state.copy(adoption = state.adoption.startFetch(newest, nowMs))
    emit(EntryEffect.FetchDocumentFromPeer(source.name, source.peerAddress))
}
