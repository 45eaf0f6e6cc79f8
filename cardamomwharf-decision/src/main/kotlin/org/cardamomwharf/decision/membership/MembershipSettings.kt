/*
 * Intervals and timeouts of the membership protocol. An instance gives up its resources when it has not run for
 * [MembershipSettings.leaseMs]. Its peers take them over only after the lease plus [MembershipSettings.guardMs], which
 * covers message delays and the delay of the owner's own lease check.
 */
package org.cardamomwharf.decision.membership

import kotlinx.serialization.Serializable

/**
 * Represents the intervals of heartbeats and zone summaries, and the lease of an instance.
 *
 * @param joinWaitMs time for which a new instance only receives heartbeats before it may own resources.
 * @param delegateCount number of instances of a zone that exchange summaries with one other zone.
 */
@Serializable
public data class MembershipSettings(
    public val heartbeatIntervalMs: Long = 1_000,
    public val leaseMs: Long = 3_000,
    public val guardMs: Long = 1_500,
    public val joinWaitMs: Long = 3_000,
    public val summaryMaxAgeMs: Long = 8_000,
    public val summaryIntervalMs: Long = 2_000,
    public val delegateCount: Int = 2,
    public val summaryMembers: Int = 4,
) {
    /** The time without a heartbeat after which a peer is considered dead. */
    public val takeoverMs: Long get() = leaseMs + guardMs
}
