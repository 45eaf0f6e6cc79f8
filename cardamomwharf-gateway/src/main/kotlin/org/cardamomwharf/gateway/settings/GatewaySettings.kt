/*
 * The settings of a gateway process.
 */
package org.cardamomwharf.gateway.settings

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.limits.RetryBudgetParameters

/**
 * Represents the settings.
 *
 * @param zones all availability zones with their regions.
 * @param peerPort port for heartbeats between instances.
 * @param metricsPort port for metrics.
 */
public data class GatewaySettings(
    public val instance: InstanceName,
    public val zone: ZoneName,
    public val zones: Map<ZoneName, RegionName>,
    public val addresses: GatewayAddresses,
    public val peerPort: Int,
    public val metricsPort: Int,
    public val bounds: GatewayBounds,
) {
    /** Returns the place of this instance. */
    public fun toLocation(): InstanceLocation = InstanceLocation(instance, zone, zones)

    /** Returns the terms of the decisions. */
    public fun toParameters(): SteeringParameters = SteeringParameters(
        retryBudget = RetryBudgetParameters(bounds.retryRatio, bounds.retryAllowance, bounds.retryWindowMs),
        maxShift = bounds.maxShift,
    )
}

/** Represents where a process listens and whom it calls. */
public data class GatewayAddresses(
    public val caller: SocketAddress,
    public val ready: SocketAddress,
    public val directory: SocketAddress,
    public val store: SocketAddress,
    public val host: String,
)

/**
 * Represents what the users set as bounds.
 *
 * @param stopMs time from the signal to stop until the process is killed.
 * @param retryRatio repeats allowed for each request.
 * @param retryAllowance repeats allowed in each window besides.
 * @param maxShift largest change of the share of a region's requests that run elsewhere.
 */
public data class GatewayBounds(
    public val stopMs: Long,
    public val retryRatio: Double,
    public val retryAllowance: Int,
    public val retryWindowMs: Long,
    public val maxShift: Double,
)
