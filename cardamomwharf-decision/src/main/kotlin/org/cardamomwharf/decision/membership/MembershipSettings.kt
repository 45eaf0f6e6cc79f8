/*
 * Times of the membership. A holder stops after [MembershipSettings.leaseMs] without having run; others take over only
 * after the lease plus [MembershipSettings.guardMs], which covers delays of messages and of the holder's last check.
 */
package org.cardamomwharf.decision.membership

import kotlinx.serialization.Serializable

/**
 * Represents the times of heartbeats and leases.
 *
 * @param joinWaitMs time for which a new instance listens before it owns anything.
 * @param delegateCount instances of a zone that exchange summaries with one other zone.
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
    /** The silence after which a peer counts as dead. */
    public val takeoverMs: Long get() = leaseMs + guardMs
}
