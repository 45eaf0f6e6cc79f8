/*
 * Routing of requests by method and path prefix, based on http4k's handler type.
 */
package org.cardamomwharf.http

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Represents a handler for a path, or for all paths with a prefix that ends in a slash. */
public data class Route(
    public val method: Method?,
    public val prefix: String,
    public val handler: HttpHandler,
)

/** Returns a handler that forwards a request to the first matching route, or responds with 404. */
public fun routeRequests(vararg routes: Route): HttpHandler = { request ->
    val route = routes.firstOrNull { it.matches(request) }
    route?.handler?.invoke(request) ?: Response(Status.NOT_FOUND).body("no such path\n")
}

private fun Route.matches(request: Request): Boolean {
    val path = request.uri.path
    val isPathMatching = if (prefix.endsWith('/')) path.startsWith(prefix) else path == prefix
    return isPathMatching && (method == null || method == request.method)
}

/** Returns a response with the body [json]. */
public fun jsonResponse(status: Int, json: String): Response =
    Response(Status(status, "")).header("Content-Type", "application/json").body(json)
