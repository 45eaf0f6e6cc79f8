/*
 * Joins the platform's lagging list with heartbeats. Two sets of members come out: the live set drops an instance after
 * silence and decides about slots, where backend servers shed what is too much; the settled set drops it only once the
 * platform no longer lists it or a later incarnation was heard, and decides about caps, which must hold during cuts.
 */
package org.cardamomwharf.decision.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.hash64

/** Represents what is known of another instance of the own zone. */
public data class PeerState(public val heartbeat: Heartbeat, public val receivedAtMs: Long) {
    /** The instance itself. */
    public val member: Member get() = heartbeat.sender
}

/** Represents the newest summary of another zone. */
public data class RemoteZone(public val summary: ZoneSummary, public val receivedAtMs: Long)

/**
 * Represents the members of the own zone and the summaries of others, as one instance sees them.
 *
 * @param joinedAtMs start of this life, or the end of the last pause that outlasted the lease.
 */
public data class Membership(
    public val self: Member,
    public val settings: MembershipSettings,
    public val joinedAtMs: Long,
    public val lastRanAtMs: Long,
    public val isLeaving: Boolean = false,
    public val peers: PersistentMap<InstanceName, PeerState> = persistentMapOf(),
    public val remoteZones: PersistentMap<ZoneName, RemoteZone> = persistentMapOf(),
    public val listed: PersistentMap<InstanceName, ListedInstance> = persistentMapOf(),
    public val hasReadList: Boolean = false,
)

/** Returns a hash of a set of members that peers compare. */
public fun hashView(names: List<InstanceName>): Long = hash64(names.joinToString(",") { it.value })

/** Returns the membership of an instance that knows nobody yet. */
public fun newMembership(self: Member, settings: MembershipSettings, nowMs: Long): Membership =
    Membership(self, settings, joinedAtMs = nowMs, lastRanAtMs = nowMs)

/** Returns this membership after [heartbeat]; one of an older incarnation or out of order changes nothing. */
public fun Membership.recordHeartbeat(heartbeat: Heartbeat, nowMs: Long): Membership {
    val sender = heartbeat.sender
    if (sender.zone != self.zone || sender.name == self.name) return this
    val known = peers[sender.name]
    val isOld = known != null && compareAge(known.heartbeat, heartbeat) >= 0
    return if (isOld) this else copy(peers = peers.put(sender.name, PeerState(heartbeat, nowMs)))
}

private fun compareAge(known: Heartbeat, heard: Heartbeat): Int =
    compareValuesBy(known, heard, { it.sender.incarnation }, { it.sequence })

/** Returns this membership after a summary of another zone; delegates of a zone number their summaries by time. */
public fun Membership.recordSummary(summary: ZoneSummary, nowMs: Long): Membership {
    if (summary.zone == self.zone) return this
    return copy(remoteZones = remoteZones.put(summary.zone, RemoteZone(summary, nowMs)))
}

/** Returns this membership after the platform's list was read; an instance it marks as leaving is leaving. */
public fun Membership.applyList(instances: List<ListedInstance>, nowMs: Long): Membership {
    val byName = instances.associateBy { it.name }.toPersistentMap()
    val keptPeers = peers.filterValues { peer -> peer.member.name in byName || !isForgotten(peer, nowMs) }
    return copy(listed = byName, hasReadList = true, peers = keptPeers.toPersistentMap())
}

private fun Membership.isForgotten(peer: PeerState, nowMs: Long): Boolean =
    nowMs - peer.receivedAtMs >= settings.takeoverMs

/** Returns this membership after the process ran at [nowMs]; a pause beyond the lease makes it join anew. */
public fun Membership.recordRun(nowMs: Long): Membership =
    if (isLeaseExpired(nowMs)) copy(lastRanAtMs = nowMs, joinedAtMs = nowMs) else copy(lastRanAtMs = nowMs)
