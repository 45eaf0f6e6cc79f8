/*
 * Limits the requests of teams, summed over all instances, without a coordinator. Instances report the requests of each
 * limited team to the watcher of their zone, which sums them and exchanges the sums with the other zones. From these
 * sums each instance computes the fraction of the requests that it sends.
 */
package org.cardamomwharf.steering.teams.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.TeamName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.desired.Team

/** Time after which instances that are no longer seen don't count; by then they have stopped to send requests. */
private const val FORGET_INSTANCES_AFTER_MS = 6_000L

/** Fraction of the one last sent at which the other instances are told at once. */
private const val PROMPT_RATIO = 0.6

/** Time after which the requests of a team that began to be limited are known well enough to wait for heartbeats. */
private const val ONSET_MS = 2_000L

/** Minimum interval of messages sent at once. */
private const val PROMPT_INTERVAL_MS = 200L

/** Minimum interval at which the sums are compared with those last sent. */
private const val CHECK_INTERVAL_MS = 50L

/** Shortest and longest delay after which a caller is told to come back, and how far delays are spread. */
private const val MIN_RETRY_AFTER_MS = 200.0
private const val MAX_RETRY_AFTER_MS = 5_000.0
private const val SPREAD_MS = 1_000.0

/** Limits the requests of teams at the instance at [location]. */
public class TeamLimits(private val location: InstanceLocation) {
    private val shares = HashMap<TeamName, TeamShare>()
    private val table = DemandTable(location.zone)
    private var teams: List<Team> = emptyList()
    private val instanceCounts = RecentMaximum(FORGET_INSTANCES_AFTER_MS)
    private var sentDemand: Map<Int, TeamDemand> = emptyMap()
    private val sentFractions = HashMap<Int, Double>()
    private var promptAtMs = Long.MIN_VALUE / 2
    private var checkedAtMs = Long.MIN_VALUE / 2

    /** Changes of the teams that are limited here. */
    public val changes: LimitChanges = LimitChanges()

    /** True when a team has a limit; there is nothing to exchange otherwise. */
    public val isActive: Boolean get() = shares.isNotEmpty()

    /** Sets the number of instances that share the limits. */
    public fun setInstanceCount(count: Int, nowMs: Long) {
        instanceCounts.add(count, nowMs)
    }

    /** Sets the [next] teams of the configuration. */
    public fun setTeams(next: List<Team>) {
        if (next === teams) return
        teams = next
        val limited = next.filter { it.limit != null }
        limited.forEach { shareOf(it) }
        shares.keys.retainAll(limited.mapTo(HashSet()) { it.name })
    }

    /**
     * Takes a token for a request of [team] that is about to be sent and returns null, or returns the time after which
     * the caller of the request [id] may come back.
     */
    public fun acquire(team: Team?, id: String, nowMs: Long): Long? {
        val share = team?.let { shareOf(it) } ?: return null
        val isSent = share.tryAcquire(nowMs)
        changes.record(team.name, isSent, share, nowMs)
        return if (isSent) null else retryAfterMs(share, id)
    }

    /** Gives the token of a request of [team] back that a backend server refused without running it. */
    public fun giveBack(team: Team?, nowMs: Long) {
        if (team != null) shareOf(team)?.giveBack(nowMs)
    }

    /** Returns the message to the instances that collect the reports of the own zone; other zones get none. */
    public fun reports(nowMs: Long): Pair<TeamLimitMessage?, TeamLimitMessage?> {
        if (!table.isFresh(nowMs)) update(nowMs)
        return TeamLimitMessage(own = ownDemand(nowMs)) to null
    }

    /**
     * Returns the message to the instances of the own zone, and the one to other zones or null, from the instance that
     * collects the reports.
     */
    public fun sums(isToOtherZones: Boolean, nowMs: Long): Pair<TeamLimitMessage?, TeamLimitMessage?> {
        val ownZone = sumOwnZone(nowMs)
        shares.values.forEach { sentFractions[it.teamId] = it.fraction }
        if (isToOtherZones) sentDemand = ownZone.teams.associateBy { it.teamId }
        return TeamLimitMessage(zones = table.zones(nowMs)) to
            TeamLimitMessage(zones = listOf(ownZone)).takeIf { isToOtherZones }
    }

    /** Processes the [message] of the instance [from] in [zone]. */
    public fun receive(from: InstanceName, zone: ZoneName, message: TeamLimitMessage, nowMs: Long) {
        if (!isActive) return
        if (zone == location.zone) message.own?.let { table.receiveReport(from, it, nowMs) }
        message.zones.forEach { table.receiveZone(it, nowMs) }
        if (message.zones.isNotEmpty()) update(nowMs)
    }

    /** Returns true when the instance that collects the reports has to tell the others at once. */
    public fun isPromptDue(nowMs: Long): Boolean {
        if (!isActive || nowMs - promptAtMs < PROMPT_INTERVAL_MS || nowMs - checkedAtMs < CHECK_INTERVAL_MS) return false
        checkedAtMs = nowMs
        val now = sumOwnZone(nowMs).teams.associateBy { it.teamId }
        val isDue = shares.values.any { isLimitNews(it, nowMs) || isDemandNews(it, now[it.teamId]) }
        if (isDue) promptAtMs = nowMs
        return isDue
    }

    private fun isLimitNews(share: TeamShare, nowMs: Long): Boolean =
        share.fraction < PROMPT_RATIO * (sentFractions[share.teamId] ?: 1.0) ||
            (share.fraction < PROMPT_RATIO && nowMs - share.limitedAtMs < ONSET_MS)

    /** Returns true when the limit would be reached if the requests in all zones rose like those of the own zone. */
    private fun isDemandNews(share: TeamShare, now: TeamDemand?): Boolean {
        val sentPerSecond = (sentDemand[share.teamId]?.asked ?: 0) * DEMAND_WINDOWS_PER_S
        val beforePerSecond = maxOf(sentPerSecond, table.usualInOwnZone(share.teamId))
        val nowPerSecond = (now?.asked ?: 0) * DEMAND_WINDOWS_PER_S
        val expected = share.askedPerSecond + (nowPerSecond - beforePerSecond) * table.zoneCount
        return expected > share.limit.requestsPerSecond && isRise(beforePerSecond, nowPerSecond)
    }

    private fun sumOwnZone(nowMs: Long): ZoneDemand {
        table.receiveReport(location.instance, ownDemand(nowMs), nowMs)
        return table.sumOwnZone(nowMs).also { update(nowMs) }
    }

    private fun update(nowMs: Long) {
        val isFresh = table.isFresh(nowMs)
        shares.values.forEach { share ->
            share.update(if (isFresh) table.known(share.teamId, nowMs) else null, instanceCounts.value, nowMs)
        }
    }

    private fun ownDemand(nowMs: Long): List<TeamDemand> =
        shares.values.map { it.counter.demand(it.teamId, nowMs) }.filter { it.asked > 0 || it.sent > 0 }

    private fun shareOf(team: Team): TeamShare? {
        val limit = team.limit?.takeIf { it.requestsPerSecond > 0 } ?: return null
        val share = shares.getOrPut(team.name) {
            TeamShare(teamIdOf(team.name), limit, hashToUnitInterval("${location.instance.value} ${team.name.value}"))
        }
        share.limit = limit
        return share
    }

    private fun retryAfterMs(share: TeamShare, id: String): Long {
        val spreadMs = hashToUnitInterval(id) * SPREAD_MS / maxOf(share.fraction, SPREAD_MS / MAX_RETRY_AFTER_MS)
        return (maxOf(share.waitMs(), MIN_RETRY_AFTER_MS) + spreadMs).coerceAtMost(MAX_RETRY_AFTER_MS).toLong()
    }
}
