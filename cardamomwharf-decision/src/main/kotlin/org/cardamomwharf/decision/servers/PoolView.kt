/*
 * Selects a backend server for a request and counts free slots. During its slow start a server gets one slot more for
 * each part of the time; reserved slots are for the heaviest services only; at most half of a pool is ejected after
 * failures.
 */
package org.cardamomwharf.decision.servers

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.document.Policy
import kotlin.math.ceil

private const val PERCENT = 100

/**
 * Represents the servers of a pool at a point in time, as input of the selection.
 *
 * @param owned servers that this instance owns.
 */
public data class PoolView(
    public val servers: List<ServerState>,
    public val owned: Set<ServerName>,
    public val slotsPerUpstream: Int,
    public val policy: Policy,
    public val nowMs: Long,
) {
    /** The owned servers that may get new requests. */
    public val availableServers: List<ServerState> =
        selectAvailable(servers.filter { it.name in owned && !it.isLeaving })

    /** Returns the slots of [server] that are free now. */
    public fun countFreeSlots(server: ServerState): Int {
        val usedSlots = maxOf(server.inFlight + server.residualSlots, countReportedInFlight(server))
        return (countAllowedSlots(server) - usedSlots).coerceAtLeast(0)
    }

    /** The free slots of all available servers. */
    public val freeSlots: Int get() = availableServers.sumOf { countFreeSlots(it) }

    /** The slots of all owned servers that aren't leaving. */
    public val totalSlots: Int get() = servers.count { it.name in owned && !it.isLeaving } * slotsPerUpstream

    /** The slots that only the heaviest services may use. */
    public val reservedSlots: Int get() = totalSlots * policy.reservedSlotsPercent / PERCENT

    private fun countAllowedSlots(server: ServerState): Int {
        val elapsedMs = nowMs - server.slowStartAtMs
        if (policy.slowStartMs <= 0 || elapsedMs >= policy.slowStartMs) return slotsPerUpstream
        return ceil(slotsPerUpstream * elapsedMs.toDouble() / policy.slowStartMs).toInt().coerceIn(1, slotsPerUpstream)
    }

    private fun countReportedInFlight(server: ServerState): Int {
        val isRecent = nowMs - server.reportAtMs < policy.measurementMaxAgeMs
        return if (isRecent) server.report?.inFlight?.coerceAtMost(slotsPerUpstream - 1) ?: 0 else 0
    }

    private fun selectAvailable(candidates: List<ServerState>): List<ServerState> {
        val admitted = candidates.filter { it.ejectedUntilMs <= nowMs }
        val minCount = (candidates.size + 1) / 2
        if (admitted.size >= minCount) return admitted
        val ejected = candidates.filter { it.ejectedUntilMs > nowMs }.sortedBy { it.ejectedUntilMs }
        return admitted + ejected.take(minCount - admitted.size)
    }
}

/**
 * Returns the server with the most free slots outside [excluded], or null when there is none or all free slots are
 * reserved.
 *
 * @param isHeaviest true when the request may use reserved slots.
 */
public fun PoolView.selectServer(isHeaviest: Boolean, excluded: Set<ServerName>): ServerState? {
    if (!isHeaviest && freeSlots <= reservedSlots) return null
    return availableServers
        .filter { it.name !in excluded && countFreeSlots(it) > 0 }
        .sortedBy { it.name.value }
        .maxByOrNull { countFreeSlots(it) }
}
