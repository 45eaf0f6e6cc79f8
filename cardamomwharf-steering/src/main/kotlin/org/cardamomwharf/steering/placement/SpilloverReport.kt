/*
 * What an instance lends to other regions, for logs: enough to tell whether the regions in which requests run changed
 * because of the lending, because the own region had no server to offer, or because other callers came.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.requests.RegionChoice

/** Represents a region with the reason for choosing it. */
public data class RegionReason(public val region: RegionName?, public val choice: RegionChoice)

/**
 * Represents the lending of one service.
 *
 * @param share share of the tries that are lent.
 * @param targetShare share of the requests that gain by leaving; the lent share moves towards it.
 * @param attemptCounts tries since the counts were cleared.
 */
public data class SpilloverReport(
    public val service: ServiceName,
    public val share: Double,
    public val targetShare: Double,
    public val attemptCounts: Map<RegionReason, Int>,
)
