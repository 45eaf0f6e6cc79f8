/*
 * Decides whether a request is accepted: a configuration is loaded, a route matches, and the caller may use it.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TeamKey
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.teams.Caller
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Request

/** Retry-After delay while no configuration is loaded; the store is read several times within it. */
private const val NO_STATE_RETRY_MS = 300L

/** Represents the decision whether a request is accepted. */
internal sealed interface Admission {
    /** The request of [team] is forwarded to [service] according to [desired]. */
    data class Accepted(
        val desired: DesiredState,
        val route: Route,
        val service: ServiceName,
        val team: Team?,
    ) : Admission

    /** The request is answered with [reply]. */
    data class Rejected(val reply: LocalReply) : Admission
}

/** Returns the decision about [request]. */
internal fun Steering.admit(request: Request, nowMs: Long): Admission {
    val desired = routes.desired
    val route = request.headers.get(HttpHeader.HOST)?.let { routes.find(it, request.httpURI.path.orEmpty()) }
    return when {
        desired == null ->
            Admission.Rejected(LocalReply(StatusCode.UNAVAILABLE, RefusalReason.NO_STATE.code, NO_STATE_RETRY_MS))
        route == null -> Admission.Rejected(LocalReply(StatusCode.NOT_FOUND, "no-route"))
        else -> when (val caller = callers.identify(route, keyOf(request.headers), nowMs)) {
            Caller.Anonymous -> Admission.Accepted(desired, route, routes.chooseService(route), null)
            is Caller.Member -> Admission.Accepted(desired, route, routes.chooseService(route), caller.team)
            is Caller.Unconfirmed -> Admission.Rejected(
                LocalReply(StatusCode.UNAVAILABLE, caller.refusal.reason.code, caller.refusal.retryAfterMs),
            )
            Caller.Unknown -> Admission.Rejected(LocalReply(StatusCode.UNAUTHORIZED, "unknown-key"))
        }
    }
}

/** Returns the key in [fields], or null when there are none or several. */
private fun keyOf(fields: HttpFields): TeamKey? =
    fields.getValuesList(HeaderNames.TEAM_KEY).singleOrNull()?.let { TeamKey(it) }
