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
import org.cardamomwharf.steering.hedging.HedgingParameters
import org.cardamomwharf.steering.limits.RetryBudgetParameters
import org.cardamomwharf.steering.teams.TeamParameters

/**
 * Represents the settings of a gateway process.
 *
 * @param zones region of each availability zone.
 * @param peerPort port for heartbeats between instances.
 * @param metricsPort port for metrics.
 * @param machine capacity of the machine, or null if it isn't stated.
 * @param teams bounds for the keys and limits of teams.
 * @param hedging limits on hedged requests.
 */
public data class GatewaySettings(
    public val instance: InstanceName,
    public val zone: ZoneName,
    public val zones: Map<ZoneName, RegionName>,
    public val addresses: GatewayAddresses,
    public val peerPort: Int,
    public val metricsPort: Int,
    public val bounds: GatewayBounds,
    public val machine: MachineCapacity? = null,
    public val teams: TeamParameters = TeamParameters(),
    public val hedging: HedgingParameters = HedgingParameters(),
) {
    /** Returns the location of this instance. */
    public fun toLocation(): InstanceLocation = InstanceLocation(instance, zone, zones)

    /** Returns the parameters of steering. */
    public fun toParameters(): SteeringParameters = SteeringParameters(
        retryBudget = RetryBudgetParameters(bounds.retryRatio, bounds.retryAllowance, bounds.retryWindowMs),
        maxShift = bounds.maxShift,
        teams = teams,
        hedging = hedging,
    )
}

/** Represents the memory of the machine that a process may use, and the bandwidth of its link. */
public data class MachineCapacity(public val memoryMb: Long, public val linkMbps: Double)

/** Represents the addresses that a process listens on, and the address of the store. */
public data class GatewayAddresses(
    public val caller: SocketAddress,
    public val ready: SocketAddress,
    public val directory: SocketAddress,
    public val store: SocketAddress,
    public val host: String,
)

/**
 * Represents the configured bounds.
 *
 * @param stopMs time from the stop signal until the process is killed.
 * @param retryRatio retries allowed per request.
 * @param retryAllowance additional retries allowed per window.
 * @param maxShift maximum change of the share of a region's requests that run in other regions.
 */
public data class GatewayBounds(
    public val stopMs: Long,
    public val retryRatio: Double,
    public val retryAllowance: Int,
    public val retryWindowMs: Long,
    public val maxShift: Double,
)
