/*
 * Finds the route of a request: the route of its host with the longest matching path prefix.
 */
package org.cardamomwharf.steering.desired

/** Represents the routes of one configuration, indexed by host. */
public class RouteTable internal constructor(private val byHost: Map<String, List<Route>>) {
    /** Returns the route for [path] on [host], or null when none matches. A port in [host] is ignored. */
    public fun find(host: String, path: String): Route? {
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }
}

/** Creates the route table of [routes]. */
public fun createRouteTable(routes: List<Route>): RouteTable =
    RouteTable(
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.prefix.length } },
    )
