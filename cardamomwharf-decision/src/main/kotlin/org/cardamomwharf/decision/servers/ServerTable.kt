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
 * @param residual slots that other instances still use after the server changed its owner.
 * @param warmFromMs time at which the server began to take work from its owner.
 * @param closedUntilMs time until which it gets nothing after a failure or refusal.
 * @param namesAttempts whether an answer of it ever named its attempt; from then on all of them have to.
 */
public data class ServerState(
    public val listed: ListedServer,
    public val warmFromMs: Long,
    public val inFlight: Int = 0,
    public val residual: Int = 0,
    public val failures: Int = 0,
    public val closedUntilMs: Long = 0,
    public val isLeaving: Boolean = false,
    public val report: LoadReport? = null,
    public val reportAtMs: Long = 0,
    public val namesAttempts: Boolean = false,
) {
    /** The name of the server. */
    public val name: ServerName get() = listed.name
}

/** Represents the backend servers of one zone by name; [isFilled] once the platform's list was read. */
public data class ServerTable(
    public val servers: PersistentMap<ServerName, ServerState> = persistentMapOf(),
    public val isFilled: Boolean = false,
) {
    /** Returns the servers of [service] by name. */
    public fun findServers(service: ServiceName): List<ServerState> =
        servers.values.filter { it.listed.service == service }.sortedBy { it.name.value }
}

private const val FIRST_CLOSED_MS = 500L
private const val LARGEST_CLOSED_MS = 8_000L
private const val LARGEST_DOUBLINGS = 4
private const val FAILURES_TO_COLD = 3

/** The start of servers that were there before this instance; they count as warm. */
private const val WARM_SINCE_EVER_MS = -1_000_000_000L

/** Returns this table after the platform's list was read; a server once seen as leaving stays so until it is gone. */
public fun ServerTable.applyList(listed: List<ListedServer>, nowMs: Long): ServerTable {
    val kept = servers.values.filter { it.inFlight > 0 }.associateBy { it.name }
    val current = listed.associate { it.name to mergeListed(it, nowMs) }
    val all = kept.mapValues { it.value.copy(isLeaving = true) } + current
    return ServerTable(all.toPersistentMap(), isFilled = true)
}

private fun ServerTable.mergeListed(listed: ListedServer, nowMs: Long): ServerState {
    val known = servers[listed.name]
    if (known == null || known.listed.address != listed.address) {
        val warmFromMs = if (isFilled) nowMs else WARM_SINCE_EVER_MS
        return ServerState(listed, warmFromMs, isLeaving = listed.isLeaving)
    }
    return known.copy(listed = listed, isLeaving = known.isLeaving || listed.isLeaving)
}

/** Returns this table after [change] of one server; an unknown server changes nothing. */
public fun ServerTable.change(name: ServerName, change: (ServerState) -> ServerState): ServerTable {
    val known = servers[name] ?: return this
    return copy(servers = servers.put(name, change(known)))
}

/** Returns this server after a request was sent to it. */
public fun ServerState.take(): ServerState = copy(inFlight = inFlight + 1)

/** Returns this server after a request ended. */
public fun ServerState.release(): ServerState = copy(inFlight = (inFlight - 1).coerceAtLeast(0))

/** Returns this server after an answer; one that had failed for long starts slowly, as its caches are cold. */
public fun ServerState.succeed(nowMs: Long): ServerState {
    val warmFrom = if (failures >= FAILURES_TO_COLD) nowMs else warmFromMs
    return copy(failures = 0, closedUntilMs = 0, warmFromMs = warmFrom)
}

/** Returns this server after a failed connection or a lost answer; it is closed for a while, longer each time. */
public fun ServerState.fail(nowMs: Long): ServerState {
    val doublings = failures.coerceAtMost(LARGEST_DOUBLINGS)
    val closedMs = (FIRST_CLOSED_MS shl doublings).coerceAtMost(LARGEST_CLOSED_MS)
    return copy(failures = failures + 1, closedUntilMs = nowMs + closedMs)
}

/** Returns this server after it refused a request; it gets nothing for [pauseMs]. */
public fun ServerState.refuse(pauseMs: Long, nowMs: Long): ServerState =
    copy(closedUntilMs = maxOf(closedUntilMs, nowMs + pauseMs.coerceIn(FIRST_CLOSED_MS, LARGEST_CLOSED_MS)))

/** Returns this server after [newReport]. */
public fun ServerState.hear(newReport: LoadReport, nowMs: Long): ServerState =
    copy(report = newReport, reportAtMs = nowMs, isLeaving = isLeaving || newReport.isLeaving)
