/*
 * What this instance knows about the requests of teams: the reports of the instances of its zone, if they send them
 * here, and the sums of all zones. Instances that fall silent may be down or only out of reach. Until those out of
 * reach have stopped for lack of a confirmed configuration, what they usually sent stays reserved for them.
 */
package org.cardamomwharf.steering.teams.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import kotlin.math.exp

/** Age from which a report no longer counts; two heartbeats were lost, or the instance is down. */
private const val MAX_REPORT_AGE_MS = 1_100L

/** Age from which a zone is out of reach; messages between zones come every second. */
private const val MAX_ZONE_AGE_MS = 1_800L

/** Age from which nothing is reserved for a zone; instances without a confirmed configuration have stopped by then. */
private const val FORGET_AFTER_MS = 6_000L

/** Time constant with which the usual requests of a zone rise; the time in which random arrivals even out. */
private const val RISE_MS = 6_000.0

/** Time constant with which they fall; twice the time after which instances without confirmation have stopped. */
private const val FALL_MS = 10_000.0

/**
 * Represents the requests per second of a team.
 *
 * @param asked requests that the instances within reach are asked.
 * @param sent requests that they send.
 * @param usual requests that they usually send.
 * @param reserved requests that instances out of reach may be sending.
 */
internal data class KnownDemand(val asked: Double, val sent: Double, val usual: Double, val reserved: Double)

internal class DemandTable(private val ownZone: ZoneName) {
    private val reports = HashMap<InstanceName, TimedDemand>()
    private val zones = HashMap<ZoneName, ZoneState>()

    /** Records the requests at the instance [from] of the own zone. */
    fun receiveReport(from: InstanceName, teams: List<TeamDemand>, nowMs: Long) {
        reports[from] = TimedDemand(nowMs, teams)
    }

    /** Records the requests in a zone unless newer ones are known. */
    fun receiveZone(demand: ZoneDemand, nowMs: Long) {
        val atMs = nowMs - demand.ageMs
        val state = zones.getOrPut(demand.zone) { ZoneState() }
        if (atMs > state.atMs) state.replace(demand, atMs)
    }

    /** Sums the reports of the own zone. */
    fun sumOwnZone(nowMs: Long): ZoneDemand {
        reports.values.removeIf { nowMs - it.atMs > MAX_REPORT_AGE_MS }
        val sums = reports.values.flatMap { it.teams }.groupBy { it.teamId }
            .map { (id, demands) -> TeamDemand(id, demands.sumOf { it.asked }, demands.sumOf { it.sent }) }
        return ZoneDemand(ownZone, 0, reports.size, sums).also { receiveZone(it, nowMs) }
    }

    /** Returns the requests of all zones, with their ages. */
    fun zones(nowMs: Long): List<ZoneDemand> = zones.filterValues { nowMs - it.atMs <= FORGET_AFTER_MS }
        .map { (zone, state) ->
            ZoneDemand(zone, nowMs - state.atMs, state.instanceCount, state.teams.values.toList())
        }

    /** Number of known zones. */
    val zoneCount: Int get() = zones.size

    /** Returns true when the own zone's requests are recent. */
    fun isFresh(nowMs: Long): Boolean = zones[ownZone]?.let { nowMs - it.atMs <= MAX_ZONE_AGE_MS } ?: false

    /** Returns the requests per second that the own zone usually sends of the team [teamId]. */
    fun usualInOwnZone(teamId: Int): Double = zones[ownZone]?.usual(teamId) ?: 0.0

    /** Returns the requests of the team [teamId]. */
    fun known(teamId: Int, nowMs: Long): KnownDemand = zones.values
        .filter { nowMs - it.atMs <= FORGET_AFTER_MS }
        .map { it.known(teamId, isReachable = nowMs - it.atMs <= MAX_ZONE_AGE_MS) }
        .fold(KnownDemand(0.0, 0.0, 0.0, 0.0)) { a, b ->
            KnownDemand(a.asked + b.asked, a.sent + b.sent, a.usual + b.usual, a.reserved + b.reserved)
        }

    private class TimedDemand(val atMs: Long, val teams: List<TeamDemand>)

    private class ZoneState {
        private val usual = HashMap<Int, Double>()
        private val recentCounts = RecentMaximum(FORGET_AFTER_MS)
        var atMs = Long.MIN_VALUE / 2
            private set
        var instanceCount = 0
            private set
        var teams: Map<Int, TeamDemand> = emptyMap()
            private set

        fun replace(next: ZoneDemand, nextAtMs: Long) {
            val rise = 1 - exp((atMs - nextAtMs) / RISE_MS)
            val fall = 1 - exp((atMs - nextAtMs) / FALL_MS)
            teams = next.teams.associateBy { it.teamId }
            next.teams.forEach { usual.putIfAbsent(it.teamId, 0.0) }
            usual.replaceAll { id, before ->
                val sent = (teams[id]?.sent ?: 0) * DEMAND_WINDOWS_PER_S
                before + (sent - before) * (if (sent > before) rise else fall)
            }
            instanceCount = next.instanceCount
            recentCounts.add(instanceCount, nextAtMs)
            atMs = nextAtMs
        }

        fun usual(teamId: Int): Double = usual[teamId] ?: 0.0

        fun known(teamId: Int, isReachable: Boolean): KnownDemand {
            val before = usual(teamId)
            if (!isReachable) return KnownDemand(0.0, 0.0, 0.0, before)
            val now = teams[teamId]
            val reachablePart = instanceCount.toDouble() / maxOf(recentCounts.value, 1)
            return KnownDemand(
                (now?.asked ?: 0) * DEMAND_WINDOWS_PER_S,
                (now?.sent ?: 0) * DEMAND_WINDOWS_PER_S,
                before * reachablePart,
                before * (1 - reachablePart),
            )
        }
    }
}
