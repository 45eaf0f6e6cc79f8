/*
 * The teams of the configuration. A caller belongs to the team that holds its key.
 */
package org.cardamomwharf.steering.desired

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.TeamName

/** Represents a key that callers of a team authenticate with. Its text is kept out of logs. */
@Serializable
@JvmInline
public value class TeamKey(public val value: String) {
    override fun toString(): String = "TeamKey(***)"
}

/**
 * Represents a team.
 *
 * @param keys keys of the team's callers.
 * @param rank priority under overload, which takes precedence over the route's; 0 is the highest. Null for none.
 * @param limit limit on the team's requests, or null for none.
 * @param allowedRegions regions that may run the team's requests; empty when all may.
 */
@Serializable
public data class Team(
    public val name: TeamName,
    public val keys: Set<TeamKey>,
    public val rank: Int? = null,
    public val limit: TeamLimit? = null,
    public val allowedRegions: Set<RegionName> = emptySet(),
)

/**
 * Represents the requests that all instances together admit from a team.
 *
 * @param burst requests beyond the rate that the team may send at once.
 */
@Serializable
public data class TeamLimit(public val requestsPerSecond: Double, public val burst: Double)
