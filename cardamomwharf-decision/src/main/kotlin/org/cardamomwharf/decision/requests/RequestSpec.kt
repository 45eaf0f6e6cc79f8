/*
 * Defines the properties of a request that the decisions need. The body is not part of them, only its size and a
 * fingerprint.
 */
package org.cardamomwharf.decision.requests

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.claims.Binding

/** Represents where a request came from. */
@Serializable
public enum class RequestOrigin {
    /** A caller sent it to this instance. */
    CALLER,

    /** Another entry instance handed it over, so it isn't handed over again. */
    PEER,
}

/**
 * Represents a request.
 *
 * @param clientZone zone of the client block that contains the client, or null if there is none.
 * @param fingerprint hash of method, path and body.
 * @param attempt the attempt that holds the claim; set for requests from a peer.
 */
@Serializable
public data class RequestSpec(
    public val id: RequestId,
    public val service: ServiceName,
    public val origin: RequestOrigin,
    public val isIdempotent: Boolean,
    public val requestBytes: Long,
    public val deadlineAtMs: Long,
    public val clientZone: ZoneName? = null,
    public val key: String? = null,
    public val binding: Binding? = null,
    public val fingerprint: String = "",
    public val attempt: AttemptId? = null,
)
