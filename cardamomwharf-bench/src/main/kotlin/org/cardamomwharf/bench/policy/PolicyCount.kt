/*
 * The measurements of one service in a policy run.
 */
package org.cardamomwharf.bench.policy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Represents the measurements of one service in one run.
 *
 * @param meanFreePercent mean over time of the free slots of the fullest region in each sample.
 * @param fullestRegionFreePercent mean over time of the free slots of the region that is fullest on average.
 * @param largestCapPercent largest use of any partner's cap on shifted requests in one second, over all services.
 * @param leastLinkFreePercent smallest unused share of any link in one second, over all services.
 * @param drainMs time from a drain until the drained region was last busy, null without a drain.
 */
@Serializable
public data class PolicyCount(
    public val case: String,
    public val router: String,
    public val service: String,
    public val offered: Long,
    public val ran: Long,
    public val ranInTime: Long,
    @SerialName("ends")
    public val failures: Map<String, Long>,
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
