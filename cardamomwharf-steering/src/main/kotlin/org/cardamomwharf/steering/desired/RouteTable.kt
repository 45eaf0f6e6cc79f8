/*
 * Finds the route of a request: among the routes of its host the one with the longest prefix of its path.
 */
package org.cardamomwharf.steering.desired

/** Represents the routes of one configuration, ready for look-ups. */
public class RouteTable internal constructor(private val byHost: Map<String, List<Route>>) {
    /** Returns the route for [path] on [host], or null when none fits. A port in [host] is ignored. */
    public fun find(host: String, path: String): Route? {
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }
}

/** Returns the table of [routes]. */
public fun createRouteTable(routes: List<Route>): RouteTable =
    RouteTable(
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.prefix.length } },
    )
