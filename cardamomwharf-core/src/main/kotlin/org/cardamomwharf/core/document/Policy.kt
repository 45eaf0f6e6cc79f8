/*
 * Defaults of every decision in one place. A document may override each of them.
 */
package org.cardamomwharf.core.document

import kotlinx.serialization.Serializable

/**
 * Represents the tunable values of the decisions.
 *
 * @param capReservePercent part of every cap that stays unused; it covers bursts of [capBurstMs].
 * @param capLookUpPercent part of a partner's cap for requests that look-ups send; the rest is for hand-overs.
 * @param largestShiftPercent largest change of a region's split in one [shiftIntervalMs].
 * @param shiftStartPercent utilization of the own region above which traffic is shifted.
 * @param shiftStopPercent utilization of the own region below which shifted traffic returns.
 * @param largestWaitPercent longest wait for a slot, in percent of the time that a request takes.
 * @param reservedSlotsPercent slots of a pool held back for services of the largest weight.
 * @param keyTtlMs life of a key that is bound to one instance while the table service is down.
 * @param claimRetentionMinutes time for which a key of a non-idempotent request is remembered after its last change.
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
