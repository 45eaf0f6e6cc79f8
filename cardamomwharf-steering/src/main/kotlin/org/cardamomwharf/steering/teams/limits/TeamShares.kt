/*
 * The shares of the teams that have a limit.
 */
package org.cardamomwharf.steering.teams.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.TeamName
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.steering.desired.Team

internal class TeamShares(private val instance: InstanceName) {
    private val shares = HashMap<TeamName, TeamShare>()
    private var teams: List<Team> = emptyList()

    val all: Collection<TeamShare> get() = shares.values

    /** Sets the [next] teams of the configuration. */
    fun setTeams(next: List<Team>) {
        if (next === teams) return
        teams = next
        next.forEach { find(it) }
        shares.keys.retainAll(next.filter { it.limit != null }.mapTo(HashSet()) { it.name })
    }

    /** Returns the share of [team], or null when it has no limit. */
    fun find(team: Team): TeamShare? {
        val limit = team.limit?.takeIf { it.requestsPerSecond > 0 } ?: return null
        val share = shares.getOrPut(team.name) {
            TeamShare(teamIdOf(team.name), limit, hashToUnitInterval("${instance.value} ${team.name.value}"))
        }
        share.limit = limit
        return share
    }

    /** Returns the requests at this instance of the teams that were asked for. */
    fun demand(nowMs: Long): List<TeamDemand> =
        all.map { it.counter.demand(it.teamId, nowMs) }.filter { it.asked > 0 }
}
