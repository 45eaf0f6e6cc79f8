/*
 * The backend servers of the own zone as known to this instance. Own observations (requests in flight, failed
 * connections, refusals) take precedence over load reports and the instance list, which can only lower the number of
 * requests that a server gets.
 */
package org.cardamomwharf.decision.servers

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName

/** Represents a backend server in the platform's instance list. */
@Serializable
public data class ListedServer(
    public val name: ServerName,
    public val service: ServiceName,
    public val zone: ZoneName,
    public val address: SocketAddress,
    public val isLeaving: Boolean = false,
)

/** Represents the load that a backend server reports of itself; it may be outdated or wrong. */
@Serializable
public data class LoadReport(
    public val inFlight: Int,
    public val isLeaving: Boolean,
)

/**
 * Represents one backend server.
 *
 * @param inFlight requests of this instance that the server has not completed.
 * @param residualSlots slots that other instances still use after the server has got another owner.
 * @param slowStartAtMs time at which the slow start of the server began.
 * @param ejectedUntilMs time until which it gets no requests after a failure or refusal.
 * @param hasNamedAttempts whether a response of it has ever named its attempt; all later ones must do so.
 */
public data class ServerState(
    public val listed: ListedServer,
    public val slowStartAtMs: Long,
    public val inFlight: Int = 0,
    public val residualSlots: Int = 0,
    public val consecutiveFailures: Int = 0,
    public val ejectedUntilMs: Long = 0,
    public val isLeaving: Boolean = false,
    public val report: LoadReport? = null,
    public val reportAtMs: Long = 0,
    public val hasNamedAttempts: Boolean = false,
) {
    /** The name of the server. */
    public val name: ServerName get() = listed.name
}

/** Represents the backend servers of one zone; [hasReadList] is true once the platform's list has been read. */
public data class ServerTable(
    public val servers: PersistentMap<ServerName, ServerState> = persistentMapOf(),
    public val hasReadList: Boolean = false,
) {
    /** Returns the servers of [service], sorted by name. */
    public fun findServers(service: ServiceName): List<ServerState> =
        servers.values.filter { it.listed.service == service }.sortedBy { it.name.value }
}

private const val MIN_EJECTION_MS = 500L
private const val MAX_EJECTION_MS = 8_000L
private const val MAX_DOUBLINGS = 4
private const val SLOW_START_AFTER_FAILURES = 3

/** The slow start of servers that were there before this instance: long ago, so that they count as warm. */
private const val WARM_SINCE_MS = -1_000_000_000L

/**
 * Applies the platform's list of servers. A server that was reported as leaving remains so; one that is no longer
 * listed is kept as leaving until its requests have completed.
 */
public fun ServerTable.applyList(listed: List<ListedServer>, nowMs: Long): ServerTable {
    val kept = servers.values.filter { it.inFlight > 0 }.associateBy { it.name }
    val current = listed.associate { it.name to mergeListed(it, nowMs) }
    val all = kept.mapValues { it.value.copy(isLeaving = true) } + current
    return ServerTable(all.toPersistentMap(), hasReadList = true)
}

private fun ServerTable.mergeListed(listed: ListedServer, nowMs: Long): ServerState {
    val known = servers[listed.name]
    if (known == null || known.listed.address != listed.address) {
        val slowStartAtMs = if (hasReadList) nowMs else WARM_SINCE_MS
        return ServerState(listed, slowStartAtMs, isLeaving = listed.isLeaving)
    }
    return known.copy(listed = listed, isLeaving = known.isLeaving || listed.isLeaving)
}

/** Replaces the state of one server by [change]; an unknown server is ignored. */
public fun ServerTable.update(name: ServerName, change: (ServerState) -> ServerState): ServerTable {
    val known = servers[name] ?: return this
    return copy(servers = servers.put(name, change(known)))
}

/** Records that a request was sent to this server. */
public fun ServerState.startRequest(): ServerState = copy(inFlight = inFlight + 1)

/** Records that a request to this server ended. */
public fun ServerState.endRequest(): ServerState = copy(inFlight = (inFlight - 1).coerceAtLeast(0))

/** Records a response; after several failures a slow start follows, since the caches of the server are cold. */
public fun ServerState.recordSuccess(nowMs: Long): ServerState {
    val slowStart = if (consecutiveFailures >= SLOW_START_AFTER_FAILURES) nowMs else slowStartAtMs
    return copy(consecutiveFailures = 0, ejectedUntilMs = 0, slowStartAtMs = slowStart)
}

/** Records a failed connection or lost response; the server is ejected, for twice as long after each further one. */
public fun ServerState.recordFailure(nowMs: Long): ServerState {
    val doublings = consecutiveFailures.coerceAtMost(MAX_DOUBLINGS)
    val ejectionMs = (MIN_EJECTION_MS shl doublings).coerceAtMost(MAX_EJECTION_MS)
    return copy(consecutiveFailures = consecutiveFailures + 1, ejectedUntilMs = nowMs + ejectionMs)
}

/** Records that this server refused a request; it is ejected for [pauseMs], within bounds. */
public fun ServerState.recordRefusal(pauseMs: Long, nowMs: Long): ServerState =
    copy(ejectedUntilMs = maxOf(ejectedUntilMs, nowMs + pauseMs.coerceIn(MIN_EJECTION_MS, MAX_EJECTION_MS)))

/** Records the load report of this server. */
public fun ServerState.recordLoadReport(newReport: LoadReport, nowMs: Long): ServerState =
    copy(report = newReport, reportAtMs = nowMs, isLeaving = isLeaving || newReport.isLeaving)
