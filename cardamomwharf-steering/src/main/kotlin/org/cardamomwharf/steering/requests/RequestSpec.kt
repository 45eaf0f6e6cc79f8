/*
 * A request as input to routing decisions, and the decisions.
 */
package org.cardamomwharf.steering.requests

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.hash64
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.placement.Warmth

/**
 * Represents a request with its route.
 *
 * @param affinityKey key of the object that the request is about, or null.
 * @param deadlineAtMs time of the caller's or the route's deadline, whichever is earlier.
 * @param fingerprint hash of what the caller sends, the same when the request comes again under another ID.
 * @param team team of the caller, or null for a request without one.
 * @param isKeyRemoved true when the key of a caller isn't sent on, because the configuration has teams.
 */
public data class RequestSpec(
    public val id: String,
    public val route: Route,
    public val service: ServiceName,
    public val affinityKey: String?,
    public val arrivedAtMs: Long,
    public val deadlineAtMs: Long,
    public val fingerprint: Long = hash64(id),
    public val team: Team? = null,
    public val isKeyRemoved: Boolean = false,
) {
    /** Priority under overload; 0 is the highest. That of the team takes precedence over that of the route. */
    public val rank: Int get() = team?.rank ?: route.rank

    /** Returns true when both the route and the team allow servers in [region] to run the request. */
    public fun isAllowedIn(region: RegionName?): Boolean =
        route.allowedRegions.let { it.isEmpty() || region in it } &&
            team?.allowedRegions.orEmpty().let { it.isEmpty() || region in it }
}

/** Represents the decision where to send a request. */
public sealed interface Placement {
    /**
     * The request is sent to [server].
     *
     * @param region region of the server, or null when its zone isn't listed.
     * @param choice reason for choosing the region.
     * @param startedAtUnixMs start time of the server; what its response states is true for this start only.
     */
    public data class Send(
        public val server: ServerName,
        public val address: SocketAddress,
        public val warmth: Warmth,
        public val predictedMs: Double,
        public val load: Double,
        public val region: RegionName?,
        public val choice: RegionChoice,
        public val startedAtUnixMs: Long,
    ) : Placement

    /** The request is refused; the caller may retry after [retryAfterMs]. */
    public data class Refuse(public val reason: RefusalReason, public val retryAfterMs: Long) : Placement
}

/** Represents the reason for choosing a region. */
public enum class RegionChoice(public val code: String) {
    /** The request stays in the region of the instance. */
    HOME("home"),

    /** The request spills over to another region. */
    LENT("lent"),

    /** No backend server in the region of the instance can take the request. */
    NO_HOME_SERVER("no-home-server"),
}

/** Represents the reason for refusing a request that was not executed. */
public enum class RefusalReason(public val code: String) {
    /** No configuration has been received yet. */
    NO_STATE("no-state"),

    /** No backend server of the service may receive requests. */
    NO_SERVER("no-server"),

    /** Every backend server would respond too late. */
    OVERLOAD("overload"),

    /** Only cold backend servers are available, and their rate limit is used up. */
    COLD("cold"),

    /** Every backend server announces a limit, and this instance's part of it is used up. */
    SERVER_LIMIT("server-limit"),

    /** The limit of the caller's team is used up. */
    TEAM_LIMIT("team-limit"),

    /** This instance can't prove that the keys of the teams that it knows are still valid. */
    UNCONFIRMED_KEYS("unconfirmed-keys"),

    /** The bodies of other requests take all the memory for bodies. */
    NO_BODY_ROOM("no-body-room"),

    /** The request has crashed several backend servers. */
    CRASHES_SERVERS("crashes-servers"),

    /** Backend servers refused the request, and no attempt is left. */
    SHED("shed"),

    /** No byte was sent to a backend server, and no attempt is left. */
    UNREACHABLE("unreachable"),

    /** This process stops before the response can be expected. */
    STOPPING("stopping"),

    /** Too little time was left when the request arrived. */
    TOO_LATE("too-late"),
}
