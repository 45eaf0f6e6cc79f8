/*
 * The backend servers of the own zone as this instance sees them. Own observations (requests in flight, failed
 * connections, refusals) outrank what load reports and the instance list say; each of those can only take work away.
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

/** Represents a backend server on the platform's instance list. */
@Serializable
public data class ListedServer(
    public val name: ServerName,
    public val service: ServiceName,
    public val zone: ZoneName,
    public val address: SocketAddress,
    public val isLeaving: Boolean = false,
)

/** Represents what a backend server reports of itself; it may lag or mislead. */
@Serializable
public data class LoadReport(
    public val inFlight: Int,
    public val isLeaving: Boolean,
)

/**
 * Represents one backend server.
 *
 * @param inFlight requests that this instance has sent and not seen the end of.
 * @param residualSlots slots that other instances still use after the server changed its owner.
 * @param slowStartAtMs time at which the server began to take work from its owner.
 * @param ejectedUntilMs time until which it gets nothing after a failure or refusal.
 * @param hasNamedAttempts whether an answer of it ever named its attempt; from then on all of them have to.
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

/** Represents the backend servers of one zone by name; [hasReadList] once the platform's list was read. */
public data class ServerTable(
    public val servers: PersistentMap<ServerName, ServerState> = persistentMapOf(),
    public val hasReadList: Boolean = false,
) {
    /** Returns the servers of [service] by name. */
    public fun findServers(service: ServiceName): List<ServerState> =
        servers.values.filter { it.listed.service == service }.sortedBy { it.name.value }
}

private const val MIN_EJECTION_MS = 500L
private const val MAX_EJECTION_MS = 8_000L
private const val LARGEST_DOUBLINGS = 4
private const val SLOW_START_AFTER_FAILURES = 3

/** The start of servers that were there before this instance; they count as warm. */
private const val ALWAYS_WARM_MS = -1_000_000_000L

/** Returns this table after the platform's list was read; a server once seen as leaving stays so until it is gone. */
public fun ServerTable.applyList(listed: List<ListedServer>, nowMs: Long): ServerTable {
    val kept = servers.values.filter { it.inFlight > 0 }.associateBy { it.name }
    val current = listed.associate { it.name to mergeListed(it, nowMs) }
    val all = kept.mapValues { it.value.copy(isLeaving = true) } + current
    return ServerTable(all.toPersistentMap(), hasReadList = true)
}

private fun ServerTable.mergeListed(listed: ListedServer, nowMs: Long): ServerState {
    val known = servers[listed.name]
    if (known == null || known.listed.address != listed.address) {
        val slowStartAtMs = if (hasReadList) nowMs else ALWAYS_WARM_MS
        return ServerState(listed, slowStartAtMs, isLeaving = listed.isLeaving)
    }
    return known.copy(listed = listed, isLeaving = known.isLeaving || listed.isLeaving)
}

/** Returns this table after [change] of one server; an unknown server changes nothing. */
public fun ServerTable.update(name: ServerName, change: (ServerState) -> ServerState): ServerTable {
    val known = servers[name] ?: return this
    return copy(servers = servers.put(name, change(known)))
}

/** Returns this server after a request was sent to it. */
public fun ServerState.startRequest(): ServerState = copy(inFlight = inFlight + 1)

/** Returns this server after a request ended. */
public fun ServerState.endRequest(): ServerState = copy(inFlight = (inFlight - 1).coerceAtLeast(0))

/** Returns this server after an answer; one that had failed for long starts slowly, as its caches are cold. */
public fun ServerState.recordSuccess(nowMs: Long): ServerState {
    val warmFrom = if (consecutiveFailures >= SLOW_START_AFTER_FAILURES) nowMs else slowStartAtMs
    return copy(consecutiveFailures = 0, ejectedUntilMs = 0, slowStartAtMs = warmFrom)
}

/** Returns this server after a failed connection or a lost answer; it is closed for a while, longer each time. */
public fun ServerState.recordFailure(nowMs: Long): ServerState {
    val doublings = consecutiveFailures.coerceAtMost(LARGEST_DOUBLINGS)
    val ejectionMs = (MIN_EJECTION_MS shl doublings).coerceAtMost(MAX_EJECTION_MS)
    return copy(consecutiveFailures = consecutiveFailures + 1, ejectedUntilMs = nowMs + ejectionMs)
}

/** Returns this server after it refused a request; it gets nothing for [pauseMs]. */
public fun ServerState.recordRefusal(pauseMs: Long, nowMs: Long): ServerState =
    copy(ejectedUntilMs = maxOf(ejectedUntilMs, nowMs + pauseMs.coerceIn(MIN_EJECTION_MS, MAX_EJECTION_MS)))

/** Returns this server after [newReport]. */
public fun ServerState.recordLoadReport(newReport: LoadReport, nowMs: Long): ServerState =
    copy(report = newReport, reportAtMs = nowMs, isLeaving = isLeaving || newReport.isLeaving)
