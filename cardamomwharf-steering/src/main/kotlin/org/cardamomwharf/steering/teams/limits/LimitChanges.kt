/*
 * Records when teams begin and cease to be limited at this instance, for the decision log. A team that is limited now
 * and then within a few seconds counts as limited throughout.
 */
package org.cardamomwharf.steering.teams.limits

import org.cardamomwharf.core.TeamName

/** Time without a refusal after which a team is no longer limited. */
private const val CALM_MS = 5_000L

/** Maximum number of changes kept until they are taken. */
private const val MAX_CHANGES = 100

/**
 * Represents that a team begins or ceases to be limited at this instance.
 *
 * @param fraction fraction of the team's requests that may be sent.
 * @param refused requests refused since the team was limited.
 */
public data class LimitChange(
    public val team: TeamName,
    public val isLimited: Boolean,
    public val fraction: Double,
    public val refused: Int,
)

/** Records changes of the teams that are limited. */
public class LimitChanges internal constructor() {
    private val limited = HashMap<TeamName, Refusals>()
    private val changes = ArrayList<LimitChange>()

    /** Returns the changes since the last call. */
    public fun take(nowMs: Long): List<LimitChange> {
        val ended = limited.filterValues { nowMs - it.lastAtMs >= CALM_MS }
        limited.keys.removeAll(ended.keys)
        val taken = changes + ended.map { (team, refusals) -> LimitChange(team, false, 1.0, refusals.count) }
        changes.clear()
        return taken
    }

    internal fun record(team: TeamName, isSent: Boolean, share: TeamShare, nowMs: Long) {
        if (isSent) return
        val refusals = limited[team] ?: Refusals().also {
            limited[team] = it
            if (changes.size < MAX_CHANGES) changes += LimitChange(team, true, share.fraction, 1)
        }
        refusals.count++
        refusals.lastAtMs = nowMs
    }

    private class Refusals {
        var count = 0
        var lastAtMs = 0L
    }
}
