/*
 * The cases of the policy benchmark: load by region and injected failures.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.RegionName

/**
 * Represents one benchmark case.
 *
 * @param loadPercent load from each region in percent of its own slots.
 * @param failedRegion region whose servers and entry instances fail halfway through the run.
 * @param drainedRegion region whose zones are drained halfway through the run.
 * @param isReportFalse whether half of the servers report no load and the others full load.
 * @param clientAttempts attempts that a client makes without a delay between them.
 * @param reportLagMs age of the load reports.
 */
public data class PolicyCase(
    public val name: String,
    public val loadPercent: Map<RegionName, Int>,
    public val failedRegion: RegionName? = null,
    public val drainedRegion: RegionName? = null,
    public val isCold: Boolean = false,
    public val isStoreDown: Boolean = false,
    public val isReportFalse: Boolean = false,
    public val clientAttempts: Int = 3,
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
        PolicyCase("region lost", steady, failedRegion = first),
        PolicyCase("planned drain", regions.associateWith { LIGHT_PERCENT }, drainedRegion = first),
        PolicyCase("cold caches", steady + (first to PEAK_PERCENT), isCold = true),
        PolicyCase("store down", steady, isStoreDown = true),
        PolicyCase("reports lag by 10 s", steady + (first to PEAK_PERCENT), reportLagMs = LONG_LAG_MS),
        PolicyCase("reports lie", steady + (first to PEAK_PERCENT), isReportFalse = true),
        PolicyCase("retry storm", regions.associateWith { DOUBLE_PERCENT }, clientAttempts = RETRY_STORM_ATTEMPTS),
    )
}

private const val LIGHT_PERCENT = 40
private const val STEADY_PERCENT = 60
private const val BUSY_PERCENT = 90
private const val PEAK_PERCENT = 150
private const val DOUBLE_PERCENT = 200
private const val FIVEFOLD_PERCENT = 500
private const val LONG_LAG_MS = 10_000L
private const val RETRY_STORM_ATTEMPTS = 10
