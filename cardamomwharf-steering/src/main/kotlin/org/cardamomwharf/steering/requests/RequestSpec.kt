/*
 * A request as the decisions see it, and what they decide.
 */
package org.cardamomwharf.steering.requests

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.placement.Warmth

/**
 * Represents a request that has a route.
 *
 * @param affinityKey the object that the request is about, or null.
 * @param deadlineAtMs time at which the caller or the route gives up, whichever is first.
 */
public data class RequestSpec(
    public val id: String,
    public val route: Route,
    public val service: ServiceName,
    public val affinityKey: String?,
    public val arrivedAtMs: Long,
    public val deadlineAtMs: Long,
)

/** Represents where a request goes, or why it goes nowhere. */
public sealed interface Placement {
    /**
     * The request goes to [server].
     *
     * @param region region of the server, or null when its zone isn't listed.
     * @param choice why this region was chosen.
     */
    public data class Send(
        public val server: ServerName,
        public val address: SocketAddress,
        public val warmth: Warmth,
        public val predictedMs: Double,
        public val load: Double,
        public val region: RegionName?,
        public val choice: RegionChoice,
    ) : Placement

    /** The request is refused; it may come back after [retryAfterMs]. */
    public data class Refuse(public val reason: RefusalReason, public val retryAfterMs: Long) : Placement
}

/** Represents why a request is sent to the region that it is sent to. */
public enum class RegionChoice(public val code: String) {
    /** The region of the instance serves it. */
    HOME("home"),

    /** It belongs to the share that is lent to another region. */
    SPILLOVER("lent"),

    /** No backend server of the instance's region can take it. */
    NO_HOME_SERVER("no-home-server"),
}

/** Represents why a request is refused without having run. */
public enum class RefusalReason(public val code: String) {
    /** No configuration is known yet. */
    NO_STATE("no-state"),

    /** No backend server of the service may get requests. */
    NO_SERVER("no-server"),

    /** Every backend server would answer too late. */
    OVERLOAD("overload"),

    /** Only cold backend servers are left, and their rate is used up. */
    COLD("cold"),

    /** Backend servers refused the request, and no further try is left. */
    SHED("shed"),

    /** No byte reached a backend server, and no further try is left. */
    UNREACHABLE("unreachable"),

    /** Too little time was left when the request arrived. */
    TOO_LATE("too-late"),
}
