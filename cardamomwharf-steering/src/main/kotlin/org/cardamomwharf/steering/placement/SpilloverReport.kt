/*
 * Report of the spillover to other regions, for logs. It shows why the regions in which requests run changed: because
 * of spillover, because the own region had no server, or because the callers changed.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.requests.RegionChoice

/** Represents a region with the reason for its selection. */
public data class RegionReason(public val region: RegionName?, public val choice: RegionChoice)

/**
 * Represents the spillover of one route.
 *
 * @param share share of attempts that go to other regions.
 * @param targetShare share of requests that are cheaper in other regions; [share] moves towards it.
 * @param attemptCounts attempts since the counts were cleared.
 */
public data class SpilloverReport(
    public val route: String,
    public val service: ServiceName,
    public val share: Double,
    public val targetShare: Double,
    public val attemptCounts: Map<RegionReason, Int>,
)
