/*
 * Decides which team a caller belongs to. A configuration with teams requires a key on every route that isn't public.
 */
package org.cardamomwharf.steering.teams

import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TeamKey

/** Represents the result of authenticating a caller. */
public sealed interface Caller {
    /** The request needs no key. */
    public data object Anonymous : Caller

    /** The caller holds a key of [team]. */
    public data class Member(public val team: Team) : Caller

    /** The caller sent no key, or one that no team holds. */
    public data object Unknown : Caller
}

/** Authenticates callers against the configuration of [routes]. */
public class CallerAuthentication(private val routes: ActiveRoutes) {
    /** Returns who sends a request for [route] with [key], which is null when the request holds no single key. */
    public fun identify(route: Route, key: TeamKey?): Caller = when {
        !routes.teamKeys.hasTeams || route.isPublic -> Caller.Anonymous
        else -> key?.let { routes.teamKeys.findTeam(it) }?.let { Caller.Member(it) } ?: Caller.Unknown
    }
}
