/*
 * Membership of the own zone, from heartbeats and the platform's instance list, which lags behind. Two sets of members
 * are derived from it. The live set drops an instance as soon as its heartbeats stop; it assigns backend servers, which
 * shed excess load themselves. The settled set drops a silent instance only once the platform no longer lists it, or a
 * later incarnation has sent a heartbeat; it assigns parts of caps, which must hold during network partitions.
 */
package org.cardamomwharf.decision.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.hash64

/** Represents the last heartbeat of another instance of the own zone. */
public data class PeerState(public val heartbeat: Heartbeat, public val receivedAtMs: Long) {
    /** The instance that sent the heartbeat. */
    public val member: Member get() = heartbeat.sender
}

/** Represents the last summary received from another zone. */
public data class RemoteZone(public val summary: ZoneSummary, public val receivedAtMs: Long)

/**
 * Represents the members of the own zone and the summaries of other zones, as known to one instance.
 *
 * @param joinedAtMs start of the process, or the end of its last pause that was longer than the lease.
 * @param hasReadList whether the platform's instance list has been read at least once.
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

/** Returns a hash of a list of members, by which peers compare their views. */
public fun hashView(names: List<InstanceName>): Long = hash64(names.joinToString(",") { it.value })

/** Returns the membership of an instance that has not received any heartbeat yet. */
public fun newMembership(self: Member, settings: MembershipSettings, nowMs: Long): Membership =
    Membership(self, settings, joinedAtMs = nowMs, lastRanAtMs = nowMs)

/** Records [heartbeat]; one that is from an older incarnation or out of order is ignored. */
public fun Membership.recordHeartbeat(heartbeat: Heartbeat, nowMs: Long): Membership {
    val sender = heartbeat.sender
    if (sender.zone != self.zone || sender.name == self.name) return this
    val known = peers[sender.name]
    val isOld = known != null && compareAge(known.heartbeat, heartbeat) >= 0
    return if (isOld) this else copy(peers = peers.put(sender.name, PeerState(heartbeat, nowMs)))
}

private fun compareAge(known: Heartbeat, received: Heartbeat): Int =
    compareValuesBy(known, received, { it.sender.incarnation }, { it.sequence })

/** Records the summary of another zone; it replaces the previous one, whichever delegate sent it. */
public fun Membership.recordSummary(summary: ZoneSummary, nowMs: Long): Membership {
    if (summary.zone == self.zone) return this
    return copy(remoteZones = remoteZones.put(summary.zone, RemoteZone(summary, nowMs)))
}

/** Applies the platform's instance list; drops silent peers that are no longer listed. */
public fun Membership.applyList(instances: List<ListedInstance>, nowMs: Long): Membership {
    val byName = instances.associateBy { it.name }.toPersistentMap()
    val keptPeers = peers.filterValues { peer -> peer.member.name in byName || !isSilent(peer, nowMs) }
    return copy(listed = byName, hasReadList = true, peers = keptPeers.toPersistentMap())
}

private fun Membership.isSilent(peer: PeerState, nowMs: Long): Boolean =
    nowMs - peer.receivedAtMs >= settings.takeoverMs

/** Records that the process ran at [nowMs]; after a pause longer than the lease it joins again. */
public fun Membership.recordRun(nowMs: Long): Membership =
    if (isLeaseExpired(nowMs)) copy(lastRanAtMs = nowMs, joinedAtMs = nowMs) else copy(lastRanAtMs = nowMs)
