/*
 * The configuration in force and the division of its routes among services. A newer version replaces an older one,
 * never the other way round.
 */
package org.cardamomwharf.steering.desired

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.placement.WeightedRoundRobin

/** Represents the routes in force. */
public class ActiveRoutes {
    /** The configuration in force, or null before the first one is known. */
    public var desired: DesiredState? = null
        private set
    private var table: RouteTable = createRouteTable(emptyList())
    private val splits = HashMap<String, Pair<Route, WeightedRoundRobin>>()

    /** Puts [next] in force and returns true, or returns false when it isn't newer than what is in force. */
    public fun adopt(next: DesiredState): Boolean {
        if (next.version <= (desired?.version ?: DocumentVersion.NONE)) return false
        desired = next
        table = createRouteTable(next.routes)
        return true
    }

    /** Returns the route of a request, or null when none fits. */
    public fun find(host: String, path: String): Route? = table.find(host, path)

    /** Chooses the service of the next request of [route]. */
    public fun chooseService(route: Route): ServiceName {
        val known = splits[route.name]?.takeIf { it.first.backends == route.backends }
        val (_, split) = known ?: (route to WeightedRoundRobin(route.backends)).also { splits[route.name] = it }
        return split.next()
    }

    /** Returns the terms of [service], or null when the configuration has none. */
    public fun findServiceTerms(service: ServiceName): ServiceTerms? = desired?.services?.get(service)
}
