/*
 * Tests how fast the regions change in which requests run, while only the load changes and nothing fails.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import org.cardamomwharf.steering.support.LoadSimulation
import org.cardamomwharf.steering.support.PARAMETERS
import org.cardamomwharf.steering.support.ZoneLoad
import org.cardamomwharf.steering.support.ZoneServers

private const val SECONDS = 28
private const val MEASURED_FROM_MS = 8_000L
private const val INSTANCES_PER_ZONE = 11
private const val KEYS = 200
private const val BURST_FACTOR = 1.7
private val BURST_MS = 20_000L until 23_000L
private val SEEDS = 1..3

class RegionShiftTest : FunSpec({
    val uneven = listOf("a1" to 16, "a2" to 16, "b1" to 4, "b2" to 4, "c1" to 14, "c2" to 14)
        .map { (zone, count) -> ZoneServers(zone, count, slots = 4, keyCapacity = 16) }

    fun largestShift(perSecond: Double, seed: Int): Double {
        val loads = uneven.map { zone ->
            ZoneLoad(zone.zone, perSecond, KEYS) { atMs -> if (atMs in BURST_MS) BURST_FACTOR else 1.0 }
        }
        val simulation = LoadSimulation(PARAMETERS, uneven, loads, seed, INSTANCES_PER_ZONE)
        simulation.run(SECONDS, countFromS = 10)
        return simulation.placements.largestShift(MEASURED_FROM_MS).share
    }

    // Guards against many small instances that together move more of a region's requests to other regions within two
    // seconds than the operators allow, although each moves only a few requests at a time.
    test("`a burst that many small instances refuse in part moves no more of a region's requests than allowed`") {
        SEEDS.maxOf { largestShift(perSecond = 180.0, it) } shouldBeLessThan PARAMETERS.maxShift
    }

    test("`a burst below the capacity of all regions moves no more of a region's requests than allowed`") {
        SEEDS.maxOf { largestShift(perSecond = 120.0, it) } shouldBeLessThan PARAMETERS.maxShift
    }
})
