/*
 * Tunable parameters of the decisions with their defaults. A document may override each of them.
 */
package org.cardamomwharf.core.document

import kotlinx.serialization.Serializable

/**
 * Represents the tunable parameters of the decisions.
 *
 * @param capReservePercent part of each cap that is left unused to cover bursts of [capBurstMs].
 * @param capLookUpPercent part of a partner's cap for requests that lookups direct to it; the rest is for hand-overs.
 * @param largestShiftPercent maximum change of a region's split in one [shiftIntervalMs].
 * @param shiftStartPercent utilization of the own region above which traffic is shifted.
 * @param shiftStopPercent utilization of the own region below which shifted traffic returns.
 * @param largestWaitPercent maximum wait for a slot, in percent of the time that a request takes.
 * @param reservedSlotsPercent slots of a pool reserved for services of the largest weight.
 * @param keyTtlMs lifetime of a key that is bound to one instance while the table service is down.
 * @param claimRetentionMinutes time for which the claim of a non-idempotent request is kept after its last change.
 */
@Serializable
public data class Policy(
    public val capReservePercent: Int = 10,
    public val capBurstMs: Long = 100,
    public val capLookUpPercent: Int = 70,
    public val largestShiftPercent: Int = 5,
    public val shiftIntervalMs: Long = 1_000,
    public val shiftStartPercent: Int = 75,
    public val shiftStopPercent: Int = 60,
    public val measurementMaxAgeMs: Long = 5_000,
    public val slowStartMs: Long = 10_000,
    public val reservedSlotsPercent: Int = 20,
    public val largestWaitPercent: Int = 200,
    public val maxAttempts: Int = 3,
    public val retryBudgetPercent: Int = 10,
    public val keyTtlMs: Long = 600_000,
    public val claimRetentionMinutes: Int = 1_440,
    public val boundBookingsWhenStoreDown: Boolean = true,
    public val lookupCandidates: Int = 4,
    public val leaveGraceMs: Long = 5_000,
)
