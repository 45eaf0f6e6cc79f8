/*
 * Messages between instances about the requests of teams that have a limit. Counts cover the interval of
 * heartbeats, and each message replaces the one before: a lost one delays what others know and changes nothing else.
 */
package org.cardamomwharf.steering.teams.limits

import org.cardamomwharf.core.TeamName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.hash64
import kotlin.math.sqrt

/** Time that the counts cover; the interval of heartbeats. */
public const val DEMAND_WINDOW_MS: Long = 500

/** Standard deviations by which a count is seldom above the mean by chance. */
private const val RISE_DEVIATIONS = 4.0
internal const val DEMAND_WINDOWS_PER_S: Double = 1_000.0 / DEMAND_WINDOW_MS

/** Bits of the hash that identifies a team in messages. */
private const val TEAM_ID_MASK = 0xFFFFFFL

/**
 * Represents the requests of a team in the last [DEMAND_WINDOW_MS].
 *
 * @param teamId hash of the team's name.
 * @param asked requests that were sent to backend servers or refused because of the team's limit.
 * @param sent requests that were sent to backend servers.
 */
public data class TeamDemand(public val teamId: Int, public val asked: Int, public val sent: Int)

/**
 * Represents the requests in a zone.
 *
 * @param ageMs time since the counts were taken.
 * @param instanceCount number of instances that the counts are of.
 */
public data class ZoneDemand(
    public val zone: ZoneName,
    public val ageMs: Long,
    public val instanceCount: Int,
    public val teams: List<TeamDemand>,
)

/**
 * Represents a message about the requests of teams.
 *
 * @param own requests at the sender, or null when the sender doesn't report.
 * @param zones requests in whole zones, as far as the sender knows.
 */
public data class TeamLimitMessage(
    public val own: List<TeamDemand>? = null,
    public val zones: List<ZoneDemand> = emptyList(),
)

/** Returns the number that identifies the team [name] in messages. */
internal fun teamIdOf(name: TeamName): Int = (hash64(name.value) and TEAM_ID_MASK).toInt()

/** Returns true when [now] requests per second are more than [before] and not by chance. */
internal fun isRise(before: Double, now: Double): Boolean =
    now > before + RISE_DEVIATIONS * sqrt((before + 1) * DEMAND_WINDOWS_PER_S)
