/*
 * The configuration activated by the operators: which service handles which host and path, with which settings. Version
 * numbers only increase, and an older state never replaces a newer one.
 */
package org.cardamomwharf.steering.desired

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName

/** Represents one version of the configuration. */
@Serializable
public data class DesiredState(
    public val version: DocumentVersion,
    public val routes: List<Route>,
    public val services: Map<ServiceName, ServiceTerms>,
    public val callerLimits: CallerLimits,
    public val teams: List<Team> = emptyList(),
)

/** Represents the amount of data that the requests of a route transfer. */
@Serializable
public enum class TransferKind {
    /** Requests and responses are small. */
    SMALL,

    /** Requests have large bodies. */
    UPLOAD,

    /** Responses have large bodies. */
    DOWNLOAD,
}

/**
 * Represents a rule for requests to one host whose path starts with [prefix].
 *
 * @param backends services with their shares of the requests; never empty.
 * @param timeoutMs maximum time that a caller waits.
 * @param targetLatencyMs response time that requests should meet.
 * @param rank priority under overload; 0 is the highest.
 * @param maxAttempts maximum number of backend servers that one request is sent to.
 * @param isSticky true when a backend server is faster for keys that it has handled before.
 * @param allowedRegions regions that may run the requests; empty when all may.
 * @param isPublic true when callers need no key of a team.
 * @param transfer amount of data that the requests transfer.
 */
@Serializable
public data class Route(
    public val name: String,
    public val host: String,
    public val prefix: String,
    public val isIdempotent: Boolean,
    public val backends: List<WeightedService>,
    public val timeoutMs: Long,
    public val targetLatencyMs: Long,
    public val rank: Int,
    public val maxAttempts: Int,
    public val isSticky: Boolean,
    public val allowedRegions: Set<RegionName>,
    public val isPublic: Boolean = false,
    public val transfer: TransferKind = TransferKind.SMALL,
)

/** Represents a service with its weight in a route. */
@Serializable
public data class WeightedService(public val service: ServiceName, public val weight: Double)

/**
 * Represents the settings of a service.
 *
 * @param maxConnections maximum number of connections to one backend server from all callers together.
 * @param coldStartMs time for which a backend server is slow after its start.
 * @param coldPerSecond requests per second that a cold backend server tolerates.
 */
@Serializable
public data class ServiceTerms(
    public val name: ServiceName,
    public val healthPath: String,
    public val maxConnections: Int,
    public val coldStartMs: Long,
    public val coldPerSecond: Double,
)

/** Represents the size limits and timeouts of callers' requests. */
@Serializable
public data class CallerLimits(
    public val largestHeadBytes: Int,
    public val largestBodyBytes: Long,
    public val headTimeoutMs: Long,
    public val idleTimeoutMs: Long,
)
