/*
 * What this instance knows about the requests of teams: the reports of the instances of its zone, if they send them
 * here, and the sums of all zones. Instances that fall silent may be down or only out of reach. Until those out of
 * reach have stopped for lack of a confirmed configuration, what they usually sent stays reserved for them.
 */
package org.cardamomwharf.steering.teams.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import kotlin.math.exp
import kotlin.math.sqrt

/** Age from which a report no longer counts; three heartbeats were lost, or the instance is down. */
private const val MAX_REPORT_AGE_MS = 1_600L

/** Age from which a zone is out of reach; three messages between zones were lost. */
private const val MAX_ZONE_AGE_MS = 3_000L

/** Age from which nothing is reserved for a zone; instances without a confirmed configuration have stopped by then. */
private const val FORGET_ZONE_AFTER_MS = 7_500L

/** Time constant with which the usual requests of a zone rise; the time in which random arrivals even out. */
private const val RISE_MS = 3_000.0

/** Time constant with which they fall; twice the time after which instances without confirmation have stopped. */
private const val FALL_MS = 10_000.0

/** Time constant of the recent requests of a zone, which are compared with the usual ones. */
private const val RECENT_MS = 1_000.0

/** Standard deviations by which recent requests may be below the usual ones by chance. */
private const val NOISE_FACTOR = 2.0

/**
 * Represents the requests per second of a team.
 *
 * @param asked requests that the instances within reach are asked.
 * @param sent requests that they send.
 * @param usual requests that they usually send.
 * @param reserved requests that instances out of reach may be sending.
 */
internal data class KnownDemand(val asked: Int, val sent: Int, val usual: Double, val reserved: Double)

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
        if (atMs > state.atMs) state.replace(demand.teams, atMs)
    }

    /** Sums the reports of the own zone. */
    fun sumOwnZone(nowMs: Long): ZoneDemand {
        reports.values.removeIf { nowMs - it.atMs > MAX_REPORT_AGE_MS }
        val sums = reports.values.flatMap { it.teams }.groupBy { it.teamId }
            .map { (id, demands) -> TeamDemand(id, demands.sumOf { it.asked }, demands.sumOf { it.sent }) }
        return ZoneDemand(ownZone, 0, sums).also { receiveZone(it, nowMs) }
    }

    /** Returns the requests of all zones, with their ages. */
    fun zones(nowMs: Long): List<ZoneDemand> = zones.filterValues { nowMs - it.atMs <= FORGET_ZONE_AFTER_MS }
        .map { (zone, state) -> ZoneDemand(zone, nowMs - state.atMs, state.teams.values.toList()) }

    /** Returns true when the own zone's requests are recent. */
    fun isFresh(nowMs: Long): Boolean = zones[ownZone]?.let { nowMs - it.atMs <= MAX_ZONE_AGE_MS } ?: false

    /** Returns the requests of the team [teamId]. */
    fun known(teamId: Int, nowMs: Long): KnownDemand {
        val (reachable, silent) = zones.values.filter { nowMs - it.atMs <= FORGET_ZONE_AFTER_MS }
            .partition { nowMs - it.atMs <= MAX_ZONE_AGE_MS }
        val usual = reachable.sumOf { it.usual(teamId).sent }
        val recent = reachable.sumOf { it.usual(teamId).asked }
        val missing = maxOf(usual - recent - NOISE_FACTOR * sqrt(usual), 0.0)
        return KnownDemand(
            asked = reachable.sumOf { it.teams[teamId]?.asked ?: 0 },
            sent = reachable.sumOf { it.teams[teamId]?.sent ?: 0 },
            usual = usual - missing,
            reserved = missing + silent.sumOf { it.usual(teamId).sent },
        )
    }

    private class TimedDemand(val atMs: Long, val teams: List<TeamDemand>)

    private class ZoneState {
        var atMs = Long.MIN_VALUE / 2
        var teams: Map<Int, TeamDemand> = emptyMap()
        private val usual = HashMap<Int, UsualDemand>()

        fun usual(teamId: Int): UsualDemand = usual[teamId] ?: UsualDemand()

        fun replace(next: List<TeamDemand>, nextAtMs: Long) {
            val tookMs = if (teams.isEmpty()) 0L else nextAtMs - atMs
            teams = next.associateBy { it.teamId }
            next.forEach { usual.getOrPut(it.teamId) { UsualDemand() } }
            usual.forEach { (id, before) -> before.add(teams[id], tookMs) }
            atMs = nextAtMs
        }
    }

    /** Holds moving averages of the requests of a team. */
    private class UsualDemand {
        var sent = 0.0
            private set
        var asked = 0.0
            private set

        fun add(demand: TeamDemand?, tookMs: Long) {
            val nextSent = demand?.sent ?: 0
            sent += (nextSent - sent) * (1 - exp(-tookMs / (if (nextSent > sent) RISE_MS else FALL_MS)))
            asked += ((demand?.asked ?: 0) - asked) * (1 - exp(-tookMs / RECENT_MS))
        }
    }
}
