/*
 * Queries over the heartbeats of peers and the summaries of other zones.
 */
package org.cardamomwharf.decision.membership

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.rendezvousTop

/** Returns the summaries that are not older than [MembershipSettings.summaryMaxAgeMs]. */
public fun Membership.findRemoteZones(nowMs: Long): List<ZoneSummary> =
    remoteZones.values.filter { nowMs - it.receivedAtMs < settings.summaryMaxAgeMs }.map { it.summary }

/** Returns the newest document version that any peer or zone has reported. */
public fun Membership.findNewestVersion(): DocumentVersion {
    val peerVersions = peers.values.map { it.heartbeat.documentVersion }
    val zoneVersions = remoteZones.values.map { it.summary.documentVersion }
    return (peerVersions + zoneVersions).maxOrNull() ?: DocumentVersion.NONE
}

/** Returns true when this instance exchanges summaries with [zone]. */
public fun Membership.isDelegateFor(zone: ZoneName, nowMs: Long): Boolean {
    val live = listLiveMembers(nowMs)
    return self.name in rendezvousTop(zone.value, live, settings.delegateCount) { it.value }
}
