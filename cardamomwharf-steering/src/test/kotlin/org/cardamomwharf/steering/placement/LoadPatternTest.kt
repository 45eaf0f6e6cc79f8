/*
 * Simulates seconds of load on a small deployment and compares the placement with a baseline in the same run.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import org.cardamomwharf.steering.CandidateLimits
import org.cardamomwharf.steering.support.LoadOutcome
import org.cardamomwharf.steering.support.LoadSimulation
import org.cardamomwharf.steering.support.PARAMETERS
import org.cardamomwharf.steering.support.ZoneLoad
import org.cardamomwharf.steering.support.ZoneServers

private const val SECONDS = 30
private const val WARM_UP_S = 10
private val SEEDS = 1..3

private val ZONE_NAMES = listOf("a1", "a2", "b1", "b2", "c1", "c2")

/** The baseline, which let every server of the own region take a request that would be late anyway. */
private val unlimitedCandidates = CandidateLimits(
    ownRegionServers = Int.MAX_VALUE,
    lateRequestServers = Int.MAX_VALUE,
    lateRequestLoadShare = 0.5,
)

private fun addOutcomes(first: LoadOutcome, second: LoadOutcome) = LoadOutcome(
    first.requests + second.requests,
    first.inTime + second.inTime,
    first.cold + second.cold,
    first.refused + second.refused,
    first.served + second.served,
)

class LoadPatternTest : FunSpec({
    val uneven = listOf(
        ZoneServers("a1", 3, slots = 8, keyCapacity = 38),
        ZoneServers("a2", 3, slots = 8, keyCapacity = 38),
        ZoneServers("b1", 1, slots = 8, keyCapacity = 38),
        ZoneServers("b2", 1, slots = 8, keyCapacity = 38),
        ZoneServers("c1", 2, slots = 8, keyCapacity = 38),
        ZoneServers("c2", 2, slots = 8, keyCapacity = 38),
    )

    fun loads(perSecond: Double, keys: Int) =
        ZONE_NAMES.map { ZoneLoad(it, perSecond, keys) }

    fun runUnevenRegions(spreadPenalty: Double, perSecond: Double): LoadOutcome = SEEDS.map { seed ->
        val parameters = PARAMETERS.copy(spreadPenaltyFactor = spreadPenalty)
        LoadSimulation(parameters, uneven, loads(perSecond, keys = 64), seed).run(SECONDS, WARM_UP_S)
    }.reduce(::addOutcomes)

    /** Runs many small instances, each of which sends a server less than one request every two seconds. */
    fun runManySmallInstances(candidateLimits: CandidateLimits, perSecond: Double): LoadOutcome = SEEDS.map { seed ->
        val servers = ZONE_NAMES.map { ZoneServers(it, 8, slots = 4, keyCapacity = 16) }
        val parameters = PARAMETERS.copy(candidateLimits = candidateLimits)
        val simulation = LoadSimulation(parameters, servers, loads(perSecond, keys = 200), seed, instancesPerZone = 14)
        simulation.run(SECONDS, WARM_UP_S)
    }.reduce(::addOutcomes)

    test("`many small instances that know little about loads keep keys on their servers under overload`") {
        val before = runManySmallInstances(unlimitedCandidates, perSecond = 120.0)
        val after = runManySmallInstances(PARAMETERS.candidateLimits, perSecond = 120.0)
        before.inTimeShare shouldBeLessThan 0.3
        after.inTimeShare shouldBeGreaterThan 0.8
        after.refused.toDouble() shouldBeLessThan before.refused / 4.0
    }

    test("`keeping keys on their servers costs many small instances nothing at moderate load`") {
        val before = runManySmallInstances(unlimitedCandidates, perSecond = 80.0)
        val after = runManySmallInstances(PARAMETERS.candidateLimits, perSecond = 80.0)
        after.inTimeShare shouldBeGreaterThan before.inTimeShare - 0.01
    }

    test("`near full load, a request that will be late anyway doesn't evict keys of other servers`") {
        val (before, after) = listOf(unlimitedCandidates, PARAMETERS.candidateLimits).map { candidateLimits ->
            val parameters = PARAMETERS.copy(candidateLimits = candidateLimits)
            LoadSimulation(parameters, uneven, loads(120.0, keys = 64), seed = 1).run(SECONDS, WARM_UP_S)
        }
        after.inTimeShare shouldBeGreaterThan before.inTimeShare
    }

    test("`near full load, servers that cache few keys serve far more in time with a spread penalty`") {
        val before = runUnevenRegions(spreadPenalty = 0.0, perSecond = 90.0)
        val after = runUnevenRegions(PARAMETERS.spreadPenaltyFactor, perSecond = 90.0)
        after.coldShare shouldBeLessThan before.coldShare / 2
        after.inTimeShare shouldBeGreaterThan before.inTimeShare + 0.1
    }

    test("`at moderate load, the spread penalty costs nothing`") {
        val before = runUnevenRegions(spreadPenalty = 0.0, perSecond = 40.0)
        val after = runUnevenRegions(PARAMETERS.spreadPenaltyFactor, perSecond = 40.0)
        after.inTimeShare shouldBeGreaterThan before.inTimeShare - 0.01
    }
})
