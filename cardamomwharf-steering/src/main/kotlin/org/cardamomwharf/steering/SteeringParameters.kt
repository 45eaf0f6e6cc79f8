/*
 * The limits and weights of the decisions in one place. The operators' own figures come with the settings and with the
 * configuration.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.steering.limits.RetryBudgetParameters

/** Represents the limits and weights of the decisions. */
public data class SteeringParameters(
    /** The shared budget of repeats, from the settings. */
    public val retryBudget: RetryBudgetParameters,
    /** Largest change of the share of a region's requests that run elsewhere, in two seconds; from the settings. */
    public val maxShift: Double = 0.15,
    /** Time for which entries that lapsed during an outage of the store are kept; the users name two seconds. */
    public val restoreGraceMs: Long = 2_000,
    /** Weight of a new observation in moving averages; ten observations make up most of the value. */
    public val smoothingFactor: Double = 0.1,
    /** Time after which a load report says little; a few service times. */
    public val reportDecayMs: Double = 600.0,
    /** Price of a request to another zone of the region, as time; its bytes cost about 0.03 of a request. */
    public val zonePenaltyMs: Double = 8.0,
    /** Price of a request to another region, as time; its bytes cost about 0.06 of a request. */
    public val regionPenaltyMs: Double = 40.0,
    /**
     * Price of each place further down in the order of a key's servers, as a part of what warmth saves. A server
     * remembers few keys, so a request that goes elsewhere also costs the keys that are forgotten there. The figure
     * comes from LoadPatternTest.
     */
    public val spreadPenaltyFactor: Double = 0.5,
    /** Servers that may take a request for a key. */
    public val candidateLimits: CandidateLimits = CandidateLimits(),
    /** Time in which most of what failures cost a backend server is forgotten; a few avoided times. */
    public val failureDecayMs: Double = 4_000.0,
    /** Time in which most of a backend server's slowness is forgotten; shorter than slow spells, which last seconds. */
    public val slownessDecayMs: Double = 4_000.0,
    /** Least factor that a request without an answer counts for as slowness. */
    public val minTimeoutSlowness: Double = 2.0,
    /** First time for which a backend server that failed is avoided; doubles with each failure in a row. */
    public val initialEjectionMs: Long = 400,
    /** Longest time for which a backend server that failed is avoided; below the recovery bound of the settings. */
    public val maxEjectionMs: Long = 3_200,
    /** Part of the cold rate that is used, so that instances with different views stay below the bound together. */
    public val usableColdRateShare: Double = 0.9,
    /** Shortest delay that a refused caller is told; a fifth of the usual target latency. */
    public val minRetryAfterMs: Long = 60,
)

/**
 * Represents how many servers, in the order of a key, may take its requests. The figures come from LoadPatternTest:
 * where instances know little of the loads, each server that takes a key of another one forgets one of its own, until
 * all work takes the time of unknown keys.
 *
 * @param ownRegionServers servers of the own region.
 * @param otherRegionServers servers of each other region; the first knows the key, the next ones take its overflow.
 * @param lateRequestServers servers of the own region that take a request which is late anyway, when they have room.
 * @param lateRequestLoadShare share of the slots of a server other than the first choice that may be in use then.
 */
public data class CandidateLimits(
    public val ownRegionServers: Int = 3,
    public val otherRegionServers: Int = 3,
    public val lateRequestServers: Int = 2,
    public val lateRequestLoadShare: Double = 0.25,
)
