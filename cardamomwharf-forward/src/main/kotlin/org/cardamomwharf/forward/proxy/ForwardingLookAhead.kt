/*
 * Decides which requests of callers may be forwarded while an earlier request on the same connection is pending: those
 * that may be repeated, because a caller sends them again if the connection closes before their turn.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.forward.listener.AsyncHandler
import org.cardamomwharf.forward.listener.LookAheadHandler
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.TransferKind
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Request

/** Passes all requests to [handler]. */
internal class ForwardingLookAhead(private val context: ForwardingContext, private val handler: AsyncHandler) :
    LookAheadHandler, AsyncHandler by handler {
    /** Returns true unless the response may be large, because it would be held in memory. */
    override fun mayHandleAhead(request: Request): Boolean =
        isAllowed(request) { it.isIdempotent && it.transfer == TransferKind.SMALL }

    override fun mayBeOvertaken(request: Request): Boolean = isAllowed(request) { it.isIdempotent }

    /** A request without a route is refused in any case. */
    private fun isAllowed(request: Request, isRouteAllowed: (Route) -> Boolean): Boolean {
        val host = request.headers.get(HttpHeader.HOST).orEmpty()
        val route = context.steering.withLock { steering, _ ->
            steering.routes.find(host, request.httpURI.path.orEmpty())
        }
        return !context.isStopping && (route == null || isRouteAllowed(route))
    }
}
