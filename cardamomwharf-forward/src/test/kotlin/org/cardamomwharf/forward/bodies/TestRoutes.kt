/*
 * Routes for tests of bodies.
 */
package org.cardamomwharf.forward.bodies

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.WeightedService

/** Returns a route whose requests and responses are small. */
internal fun testRoute(name: String): Route {
    val parts = listOf(WeightedService(ServiceName("s"), 1.0))
    return Route(name, "h", "/$name/", true, parts, 1_000, 1_000, 1, 1, false, emptySet())
}
