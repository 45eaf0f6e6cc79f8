/*
 * Limits the requests of teams, summed over all instances, without a coordinator. Instances report the requests of each
 * limited team to the watcher of their zone, which sums them and exchanges the sums with the other zones. From these
 * sums each instance computes the fraction of the requests that it sends.
 */
package org.cardamomwharf.steering.teams.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.desired.Team

/** Time after which instances that are no longer seen don't count; by then they have stopped to send requests. */
private const val FORGET_INSTANCES_AFTER_MS = 6_000L

/** Limits the requests of teams at the instance at [location]. */
public class TeamLimits(private val location: InstanceLocation) {
    private val shares = TeamShares(location.instance)
    private val table = DemandTable(location.zone)
    private val news = DemandNews(table)
    private val instanceCounts = RecentMaximum(FORGET_INSTANCES_AFTER_MS)

    /** Changes of the teams that are limited here. */
    public val changes: LimitChanges = LimitChanges()

    /** True when a team has a limit; there is nothing to exchange otherwise. */
    public val isActive: Boolean get() = shares.all.isNotEmpty()

    /** Sets the number of instances that share the limits. */
    public fun setInstanceCount(count: Int, nowMs: Long): Unit = instanceCounts.add(count, nowMs)

    /** Sets the [teams] of the configuration. */
    public fun setTeams(teams: List<Team>): Unit = shares.setTeams(teams)

    /**
     * Takes a token for a request of [team] that is about to be sent and returns null, or returns the time after which
     * the caller of the request [id] may come back.
     */
    public fun acquire(team: Team?, id: String, nowMs: Long): Long? {
        val share = team?.let { shares.find(it) } ?: return null
        val isSent = share.tryAcquire(nowMs)
        changes.record(team.name, isSent, share, nowMs)
        return if (isSent) null else share.retryAfterMs(id)
    }

    /** Gives the token of a request of [team] back that a backend server refused without running it. */
    public fun giveBack(team: Team?, nowMs: Long) {
        if (team != null) shares.find(team)?.giveBack(nowMs)
    }

    /** Returns the message to the instances that collect the reports of the own zone; other zones get none. */
    public fun reports(nowMs: Long): Pair<TeamLimitMessage?, TeamLimitMessage?> {
        if (!table.isFresh(nowMs)) update(nowMs)
        return TeamLimitMessage(own = shares.demand(nowMs)) to null
    }

    /**
     * Returns the message to the instances of the own zone, and the one to other zones or null, from the instance that
     * collects the reports.
     */
    public fun sums(isToOtherZones: Boolean, nowMs: Long): Pair<TeamLimitMessage?, TeamLimitMessage?> {
        val ownZone = sumOwnZone(nowMs)
        news.recordSent(ownZone, shares.all, isToOtherZones)
        val toOtherZones = TeamLimitMessage(zones = listOf(ownZone)).takeIf { isToOtherZones }
        return TeamLimitMessage(zones = table.zones(nowMs)) to toOtherZones
    }

    /** Processes the [message] of the instance [from] in [zone]. */
    public fun receive(from: InstanceName, zone: ZoneName, message: TeamLimitMessage, nowMs: Long) {
        if (!isActive) return
        if (zone == location.zone) message.own?.let { table.receiveReport(from, it, nowMs) }
        message.zones.forEach { table.receiveZone(it, nowMs) }
        if (message.zones.isNotEmpty()) update(nowMs)
    }

    /** Returns true when the instance that collects the reports has to tell the others at once. */
    public fun isPromptDue(nowMs: Long): Boolean =
        isActive && news.isCheckDue(nowMs) && news.isNews(sumOwnZone(nowMs), shares.all, nowMs)

    private fun update(nowMs: Long) {
        val isFresh = table.isFresh(nowMs)
        shares.all.forEach { share ->
            share.update(if (isFresh) table.known(share.teamId, nowMs) else null, instanceCounts.value, nowMs)
        }
    }

    private fun sumOwnZone(nowMs: Long): ZoneDemand {
        table.receiveReport(location.instance, shares.demand(nowMs), nowMs)
        return table.sumOwnZone(nowMs).also { update(nowMs) }
    }
}
