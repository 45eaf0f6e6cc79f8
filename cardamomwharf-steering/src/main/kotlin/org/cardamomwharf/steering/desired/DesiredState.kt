/*
 * The configuration that operators put in force: which service answers which host and path, and under which terms.
 * Versions are numbers that only grow; an older state never replaces a newer one.
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
)

/**
 * Represents a rule for the requests to one host whose path begins with [prefix].
 *
 * @param backends services with their shares of the requests; never empty.
 * @param timeoutMs longest time a caller is kept waiting.
 * @param targetLatencyMs time within which an answer is worth most.
 * @param rank order under pressure; 0 goes first.
 * @param maxAttempts largest number of backend servers that one request may be sent to.
 * @param isSticky true when a backend server is faster for keys that it has handled before.
 * @param allowedRegions regions that may run the requests; empty when all may.
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
)

/** Represents a service and its weight among the services of a route. */
@Serializable
public data class WeightedService(public val service: ServiceName, public val weight: Double)

/**
 * Represents the terms of a service.
 *
 * @param maxConnections connections that one backend server takes from all callers together.
 * @param coldStartMs time for which a backend server is slow after its start.
 * @param coldPerSecond requests per second that a cold backend server bears.
 */
@Serializable
public data class ServiceTerms(
    public val name: ServiceName,
    public val healthPath: String,
    public val maxConnections: Int,
    public val coldStartMs: Long,
    public val coldPerSecond: Double,
)

/** Represents what callers may send and how long they may take. */
@Serializable
public data class CallerLimits(
    public val largestHeadBytes: Int,
    public val largestBodyBytes: Long,
    public val headTimeoutMs: Long,
    public val idleTimeoutMs: Long,
)
