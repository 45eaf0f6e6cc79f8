/*
 * Status of an instance, served to operators as JSON.
 */
package org.cardamomwharf.entry.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.decision.computeLoads
import org.cardamomwharf.decision.membership.findLivePeers
import org.cardamomwharf.decision.membership.findRemoteZones
import org.cardamomwharf.decision.membership.isJoining
import org.cardamomwharf.entry.loop.Snapshot

/** Represents the status of one instance. */
@Serializable
public data class StatusReport(
    public val instance: String,
    public val incarnation: Long,
    public val zone: String,
    public val documentVersion: Long,
    public val isJoining: Boolean,
    public val isLeaving: Boolean,
    public val isStoreDown: Boolean,
    public val livePeers: List<String>,
    @SerialName("zonesHeard")
    public val remoteZones: List<String>,
    public val heldCapParts: Int,
    public val capEpoch: Long,
    @SerialName("capRaisesAwait")
    public val zonesAwaitedForCapRaise: List<String>,
    public val openRequests: Int,
    public val services: List<ServiceStatus>,
    public val servers: List<ServerStatus>,
)

/** Represents the slots of a service at one instance. */
@Serializable
public data class ServiceStatus(
    public val service: String,
    public val freeSlots: Int,
    public val totalSlots: Int,
    public val waiting: Int,
    public val shiftedPermille: Int,
)

/** Represents the status of a backend server of the zone in the view of one instance. */
@Serializable
public data class ServerStatus(
    public val server: String,
    public val isOwned: Boolean,
    public val isLeaving: Boolean,
    public val inFlight: Int,
    public val failures: Int,
)

/** Returns the status report for [snapshot]. */
public fun createStatusReport(snapshot: Snapshot, nowMs: Long): StatusReport {
    val state = snapshot.state
    val self = state.membership.self
    return StatusReport(
        instance = self.name.value,
        incarnation = self.incarnation.value,
        zone = self.zone.value,
        documentVersion = state.adoption.version.value,
        isJoining = state.membership.isJoining(nowMs),
        isLeaving = state.leave != null,
        isStoreDown = state.storeHealth.isDown(nowMs),
        livePeers = state.membership.findLivePeers(nowMs).map { it.member.name.value },
        remoteZones = state.membership.findRemoteZones(nowMs).map { it.zone.value }.sorted(),
        heldCapParts = state.ownership.capParts.size,
        capEpoch = state.capTransition.newest.value,
        zonesAwaitedForCapRaise = state.capTransition.awaitedZones.map { it.value }.sorted(),
        openRequests = state.requests.open.size,
        services = listServices(snapshot, nowMs),
        servers = listServers(snapshot),
    )
}

private fun listServices(snapshot: Snapshot, nowMs: Long): List<ServiceStatus> =
    snapshot.state.computeLoads(nowMs).map { load ->
        val split = snapshot.state.shifts.splits[load.service]
        ServiceStatus(load.service.value, load.freeSlots, load.totalSlots, load.waiting, split?.shiftedPermille ?: 0)
    }

private fun listServers(snapshot: Snapshot): List<ServerStatus> {
    val owned = snapshot.state.ownership.servers
    return snapshot.state.servers.servers.values
        .sortedBy { it.name.value }
        .map { ServerStatus(it.name.value, it.name in owned, it.isLeaving, it.inFlight, it.consecutiveFailures) }
}
