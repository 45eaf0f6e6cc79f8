/*
 * Tests the placement in a region that has a third of the callers and about a tenth of the servers, whose caches hold
 * fewer keys than the region's callers ask for. The servers of the other regions have room for them.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.support.ARCHIVE_LOADS
import org.cardamomwharf.steering.support.DESK
import org.cardamomwharf.steering.support.DESK_LOADS
import org.cardamomwharf.steering.support.FleetLoad
import org.cardamomwharf.steering.support.FleetRequest
import org.cardamomwharf.steering.support.FleetService
import org.cardamomwharf.steering.support.LIBRARY
import org.cardamomwharf.steering.support.PARAMETERS
import org.cardamomwharf.steering.support.POOR_REGION
import org.cardamomwharf.steering.support.ServiceFleet
import org.cardamomwharf.steering.support.archiveServices

private const val END_MS = 24_000L
private const val LAST_ARRIVAL_MS = 22_000L
private const val LOAD_FACTOR = 0.7
private const val ZONE_COUNT = 6

/** Instances of the whole deployment. */
private val FLEETS = listOf(12, 66, 112)

/** More than all slots are never missing, so keys have no region. */
private val withoutKeyRegions = PARAMETERS.copy(keyRegionMinMissingSlots = 1.1)

class UnevenRegionsTest : FunSpec({
    fun run(services: List<FleetService>, loads: List<FleetLoad>, instances: Int, parameters: SteeringParameters) =
        loads.map { it.copy(perSecond = it.perSecond * LOAD_FACTOR) }.let { scaled ->
            ServiceFleet(parameters, services, scaled, seed = 1, instances / ZONE_COUNT).run(END_MS)
        }

    fun ServiceFleet.shareOf(isPoor: Boolean, isCounted: (FleetRequest) -> Boolean): Double {
        val arrived = requests.filter { it.arrivedAtMs < LAST_ARRIVAL_MS && (it.region == POOR_REGION) == isPoor }
        return arrived.count(isCounted).toDouble() / arrived.size
    }

    FLEETS.forEach { instances ->
        listOf(
            "short requests" to (listOf(DESK, LIBRARY) to DESK_LOADS),
            "long requests on shared machines" to (archiveServices(isNoiseReported = true) to ARCHIVE_LOADS),
        ).forEach { (name, deployment) ->
            val (services, loads) = deployment

            // Guards against keys of which each server of a poor region caches none, because requests for each of them
            // run both in the region and in others, at random.
            test("`$instances instances serve far more $name of a poor region in time when each key has a region`") {
                val before = run(services, loads, instances, withoutKeyRegions)
                val after = run(services, loads, instances, PARAMETERS)
                after.shareOf(true) { it.isInTime } shouldBeGreaterThan before.shareOf(true) { it.isInTime } + 0.2
                after.placements.largestShift(0).share shouldBeLessThan PARAMETERS.maxShift
                after.shareOf(true) { !it.isServed } shouldBeLessThan 0.01
                after.shareOf(false) { it.isInTime } shouldBeGreaterThan before.shareOf(false) { it.isInTime } - 0.02
            }
        }
    }
})
