/*
 * Limits and weights of the routing decisions. Values set by the operators come from the settings and the
 * configuration.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.steering.hedging.HedgingParameters
import org.cardamomwharf.steering.limits.RetryBudgetParameters
import org.cardamomwharf.steering.teams.TeamParameters

/** Represents the limits and weights of the routing decisions. */
public data class SteeringParameters(
    /** The shared retry budget, from the settings. */
    public val retryBudget: RetryBudgetParameters,
    /**
     * Maximum change, within two seconds, of the share of a region's requests that run in other regions; from the
     * settings.
     */
    public val maxShift: Double = 0.15,
    /**
     * Part of the slots for its share of the requests that a region lacks, from which on each key has a region whose
     * servers cache it. With fewer missing, the region's servers cache most of its keys. UnevenRegionsTest covers it.
     */
    public val keyRegionMinMissingSlots: Double = 0.6,
    /**
     * Part of a request's time for waiting that it gives up for each share of the more urgent requests of its service
     * that are refused. UrgencyTest covers the value.
     */
    public val urgencyFactor: Double = 4.0,
    /** The bounds for teams, from the settings. */
    public val teams: TeamParameters = TeamParameters(),
    /** The limits on hedged requests, from the settings. */
    public val hedging: HedgingParameters = HedgingParameters(),
    /**
     * Time for which entries that expired during an outage of the store, or that a restored store lacks, are kept; the
     * users require two seconds.
     */
    public val restoreGraceMs: Long = 2_000,
    /**
     * Time after a restore of the store for which entries that had been removed before don't count as present: four
     * intervals in which the users' servers write their entries; the store removes servers silent for three.
     */
    public val revivalDelayMs: Long = 6_000,
    /** Weight of a new observation in moving averages; the last ten observations make up most of the value. */
    public val smoothingFactor: Double = 0.1,
    /** Time constant after which a load report carries little weight; a few service times. */
    public val reportDecayMs: Double = 600.0,
    /**
     * Time constant after which a reported slowdown carries little weight; half the time for which the users' machines
     * stay in one state, about 600 ms.
     */
    public val slowdownDecayMs: Double = 300.0,
    /** Cost of sending a request to another zone of the region, as time; its traffic costs about 0.03 of a request. */
    public val zonePenaltyMs: Double = 8.0,
    /** Cost of sending a request to another region, as time; its traffic costs about 0.06 of a request. */
    public val regionPenaltyMs: Double = 40.0,
    /**
     * Cost of sending a request with a large body, or with a large response, to another zone, as time; below a tenth of
     * the usual target latencies of such requests, so that a queue in the own zone outweighs it.
     */
    public val largeBodyPenaltyMs: Double = 60.0,
    /**
     * Cost of each further rank in a key's server order, as a fraction of the time that a warm key saves. A server
     * caches few keys, so a request on a lower-ranked server also evicts other keys there. LoadPatternTest covers the
     * value.
     */
    public val spreadPenaltyFactor: Double = 0.5,
    /** Limits on the servers considered for a key. */
    public val candidateLimits: CandidateLimits = CandidateLimits(),
    /** Time constant for the decay of the failure rate of a backend server; a few ejection times. */
    public val failureDecayMs: Double = 4_000.0,
    /**
     * Time constant for the decay of the slowness of a backend server; shorter than slow periods, which last seconds.
     */
    public val slownessDecayMs: Double = 4_000.0,
    /** Minimum slowness factor recorded for a request that timed out. */
    public val minTimeoutSlowness: Double = 2.0,
    /** Initial ejection time of a backend server that failed; doubles with each consecutive failure. */
    public val initialEjectionMs: Long = 400,
    /** Maximum ejection time of a backend server that failed; below the recovery bound of the settings. */
    public val maxEjectionMs: Long = 3_200,
    /**
     * Share of the cold rate that is used, so that instances with different views of the fleet together stay below the
     * limit.
     */
    public val usableColdRateShare: Double = 0.9,
    /** Minimum retry delay sent to a refused caller; a fifth of the usual target latency. */
    public val minRetryAfterMs: Long = 60,
)

/**
 * Represents how many servers, in the rank order of a key, may receive its requests. LoadPatternTest covers the values:
 * when instances know little about the load, every server that receives a key of another server evicts one of its own
 * keys, until all requests take the time of a cold key.
 *
 * @param ownRegionServers number of servers in the own region.
 * @param otherRegionServers number of servers in each other region; the first one caches the key, the next ones take
 * its overflow.
 * @param lateRequestServers number of servers in the own region that may take a request that will miss its target
 * latency anyway, if they have spare capacity.
 * @param lateRequestLoadShare maximum share of occupied slots at which a server other than the first choice takes such
 * a request.
 */
public data class CandidateLimits(
    public val ownRegionServers: Int = 3,
    public val otherRegionServers: Int = 3,
    public val lateRequestServers: Int = 2,
    public val lateRequestLoadShare: Double = 0.25,
)
