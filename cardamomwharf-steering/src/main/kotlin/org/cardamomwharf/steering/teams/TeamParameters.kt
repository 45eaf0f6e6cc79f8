/*
 * Bounds for the keys and the limits of teams. The operators set them in the settings.
 */
package org.cardamomwharf.steering.teams

/**
 * Represents the bounds for teams.
 *
 * @param maxKeyAgeMs time after which a withdrawn key must not be used on any instance, including one that can't reach
 * the store; null if instances that are out of touch may go on with the keys that they know.
 */
public data class TeamParameters(
    public val maxKeyAgeMs: Long? = null,
    public val limitTolerance: LimitTolerance = LimitTolerance(),
)

/**
 * Represents how far the requests of a team, summed over all instances, may exceed its limit in any window of
 * [windowMs].
 *
 * @param overshoot fraction of the requests that the limit allows in the window.
 * @param slack requests beyond that.
 */
public data class LimitTolerance(
    public val windowMs: Long = 5_000,
    public val overshoot: Double = 0.1,
    public val slack: Int = 20,
)
