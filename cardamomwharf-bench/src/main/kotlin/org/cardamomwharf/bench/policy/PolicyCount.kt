/*
 * What a policy run counted of one service.
 */
package org.cardamomwharf.bench.policy

import kotlinx.serialization.Serializable

/**
 * Represents the counts of one service in one run.
 *
 * @param meanFreePercent free slots of the region that is fullest at each moment, mean over time.
 * @param fullestRegionFreePercent free slots of the region that is fullest on the whole, mean over time.
 * @param largestCapPercent fullest second of any partner's cap on shifted requests, over all services.
 * @param leastLinkFreePercent free part of the fullest link in its fullest second, over all services.
 * @param drainMs time from a drain to the last work in the drained region, null without a drain.
 */
@Serializable
public data class PolicyCount(
    public val case: String,
    public val router: String,
    public val service: String,
    public val offered: Long,
    public val ran: Long,
    public val ranInTime: Long,
    public val ends: Map<String, Long>,
    public val medianMs: Long,
    public val p95Ms: Long,
    public val p99Ms: Long,
    public val meanFreePercent: Double,
    public val fullestRegionFreePercent: Double,
    public val objective: String,
    public val largestCapPercent: Double,
    public val leastLinkFreePercent: Double,
    public val drainMs: Long?,
)
