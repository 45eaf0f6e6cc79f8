/*
 * Routing of the few paths that our servers have, on http4k's handler type.
 */
package org.cardamomwharf.http

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Represents a path prefix with its handler. */
public data class Route(
    public val method: Method?,
    public val prefix: String,
    public val handler: HttpHandler,
)

/** Returns a handler that uses the first route that fits, or answers 404. */
public fun routeRequests(vararg routes: Route): HttpHandler = { request ->
    val route = routes.firstOrNull { it.fits(request) }
    route?.handler?.invoke(request) ?: Response(Status.NOT_FOUND).body("no such path\n")
}

private fun Route.fits(request: Request): Boolean {
    val path = request.uri.path
    val isPath = if (prefix.endsWith('/')) path.startsWith(prefix) else path == prefix
    return isPath && (method == null || method == request.method)
}

/** Returns a JSON answer. */
public fun jsonResponse(status: Int, json: String): Response =
    Response(Status(status, "")).header("Content-Type", "application/json").body(json)
