/*
 * The active configuration and the split of its routes among services. A newer version replaces an older one, never the
 * reverse.
 */
package org.cardamomwharf.steering.desired

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.placement.WeightedRoundRobin
import org.cardamomwharf.steering.teams.TeamKeys
import org.cardamomwharf.steering.teams.createTeamKeys

/**
 * Represents the routes of the active configuration.
 *
 * @param splitPhase position between 0 and 1 at which this instance begins the split of each route.
 */
public class ActiveRoutes(private val splitPhase: Double = 0.0) {
    /** The active configuration, or null before the first one was received. */
    public var desired: DesiredState? = null
        private set

    /** The keys of the teams of the active configuration. */
    public var teamKeys: TeamKeys = createTeamKeys(emptyList())
        private set
    private var table: RouteTable = createRouteTable(emptyList())
    private val splits = HashMap<String, Pair<Route, WeightedRoundRobin>>()

    /** Activates [next] and returns true, or returns false when it isn't newer than the active configuration. */
    public fun adopt(next: DesiredState): Boolean {
        if (next.version <= (desired?.version ?: DocumentVersion.NONE)) return false
        desired = next
        table = createRouteTable(next.routes)
        teamKeys = createTeamKeys(next.teams)
        return true
    }

    /** Returns the route of a request, or null when none matches. */
    public fun find(host: String, path: String): Route? = table.find(host, path)

    /** Selects the service of the next request of [route]. */
    public fun chooseService(route: Route): ServiceName {
        val current = splits[route.name]?.takeIf { it.first.backends == route.backends }
        val (_, split) = current
            ?: (route to WeightedRoundRobin(route.backends, splitPhase)).also { splits[route.name] = it }
        return split.next()
    }

    /** Returns the settings of [service], or null when it isn't configured. */
    public fun findServiceTerms(service: ServiceName): ServiceTerms? = desired?.services?.get(service)
}
