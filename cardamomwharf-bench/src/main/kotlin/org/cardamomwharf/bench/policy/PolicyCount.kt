/*
 * What a policy run counted of one service.
 */
package org.cardamomwharf.bench.policy

/** Represents the counts of one service in one run. */
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
)
