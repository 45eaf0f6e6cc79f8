/*
 * Index of the keys of all teams. It is built once when a configuration is activated, so that finding the team of a
 * request takes the same work however many teams there are.
 */
package org.cardamomwharf.steering.teams

import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TeamKey

/** Represents the keys of the teams of one configuration. */
public class TeamKeys internal constructor(private val teams: Map<TeamKey, Team>, public val hasTeams: Boolean) {
    /** Returns the team that holds [key], or null when none does. */
    public fun findTeam(key: TeamKey): Team? = teams[key]
}

/** Returns the index of the keys of [teams]. A key that several teams hold belongs to the first one. */
public fun createTeamKeys(teams: List<Team>): TeamKeys {
    val index = HashMap<TeamKey, Team>()
    teams.forEach { team -> team.keys.forEach { index.putIfAbsent(it, team) } }
    return TeamKeys(index, teams.isNotEmpty())
}
