/*
 * The cases of the policy bench: how much load comes from where, and what fails.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.RegionName

/**
 * Represents one case.
 *
 * @param loadPercent load of each region in percent of the slots it has itself.
 * @param lost region whose servers and entry instances fail at half time.
 * @param drained region whose zones are drained from half time on.
 * @param isLying half of the servers report no load and the others a full one.
 * @param clientTries tries that a client makes without waiting.
 * @param reportLagMs age of the load reports.
 */
public data class PolicyCase(
    public val name: String,
    public val loadPercent: Map<RegionName, Int>,
    public val lost: RegionName? = null,
    public val drained: RegionName? = null,
    public val isCold: Boolean = false,
    public val isStoreDown: Boolean = false,
    public val isLying: Boolean = false,
    public val clientTries: Int = 3,
    public val reportLagMs: Long = 2_000,
)

/** Returns the cases for a deployment with [regions]. */
public fun policyCases(regions: List<RegionName>): List<PolicyCase> {
    val steady = regions.associateWith { STEADY_PERCENT }
    val first = regions.first()
    return listOf(
        PolicyCase("steady", steady),
        PolicyCase("one region busier", regions.associateWith { LIGHT_PERCENT } + (first to BUSY_PERCENT)),
        PolicyCase("one region at 1.5x peak", steady + (first to PEAK_PERCENT)),
        PolicyCase("all at 2x of capacity", regions.associateWith { DOUBLE_PERCENT }),
        PolicyCase("all at 5x of capacity", regions.associateWith { FIVEFOLD_PERCENT }),
        PolicyCase("region lost", steady, lost = first),
        PolicyCase("planned drain", regions.associateWith { LIGHT_PERCENT }, drained = first),
        PolicyCase("cold caches", steady + (first to PEAK_PERCENT), isCold = true),
        PolicyCase("store down", steady, isStoreDown = true),
        PolicyCase("reports lag by 10 s", steady + (first to PEAK_PERCENT), reportLagMs = LONG_LAG_MS),
        PolicyCase("reports lie", steady + (first to PEAK_PERCENT), isLying = true),
        PolicyCase("retry storm", regions.associateWith { DOUBLE_PERCENT }, clientTries = STORM_TRIES),
    )
}

private const val LIGHT_PERCENT = 40
private const val STEADY_PERCENT = 60
private const val BUSY_PERCENT = 90
private const val PEAK_PERCENT = 150
private const val DOUBLE_PERCENT = 200
private const val FIVEFOLD_PERCENT = 500
private const val LONG_LAG_MS = 10_000L
private const val STORM_TRIES = 10
