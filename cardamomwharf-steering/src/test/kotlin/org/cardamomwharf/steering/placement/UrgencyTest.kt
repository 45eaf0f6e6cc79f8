/*
 * Tests how the kinds and teams of requests fare that share a service which has too few slots for all of them.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.TeamName
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.support.FleetLoad
import org.cardamomwharf.steering.support.FleetRequest
import org.cardamomwharf.steering.support.FleetService
import org.cardamomwharf.steering.support.PARAMETERS
import org.cardamomwharf.steering.support.ServiceFleet
import org.cardamomwharf.steering.support.routeOf
import org.cardamomwharf.steering.support.zoneCounts

private const val END_MS = 24_000L
private const val BURST_FACTOR = 2.6
private val SEEDS = 1..3
private val BURST_MS = 8_000L..16_000L

/** Without it, all requests may wait as long as their target latencies allow. */
private val withoutUrgency = PARAMETERS.copy(urgencyFactor = 0.0)

class UrgencyTest : FunSpec({
    val library = FleetService("library", zoneCounts(8, 8, 8), slots = 3, queue = 9, keyCapacity = 22)
    val urgent = FleetLoad(routeOf("ledger", "library", 241, 1_177, 0), coldMs = 217.0, keys = 53, perSecond = 25.0)
    val upload = routeOf("upload", "library", 1_106, 3_276, 2).copy(isIdempotent = false)
    val lessUrgent = FleetLoad(upload, coldMs = 644.0, keys = 150, perSecond = 30.0)

    fun burst(factor: Double) = { _: String, nowMs: Long -> if (nowMs in BURST_MS) factor else 1.0 }

    fun run(parameters: SteeringParameters, loads: List<FleetLoad>, instances: Int): List<FleetRequest> =
        SEEDS.flatMap { ServiceFleet(parameters, listOf(library), loads, it, instances).run(END_MS).requests }
            .filter { it.arrivedAtMs in BURST_MS }

    fun List<FleetRequest>.servedShare(load: FleetLoad): Double =
        filter { it.load == load }.let { sent -> sent.count { it.isServed }.toDouble() / sent.size }

    fun List<FleetRequest>.inTimeShare(load: FleetLoad): Double =
        filter { it.load == load }.let { sent -> sent.count { it.isInTime }.toDouble() / sent.size }

    listOf(2, 11, 19).forEach { instances ->
        // Pattern: a burst of one kind that is less urgent than another one of its service.
        test("`$instances instances a zone serve urgent requests during a burst of less urgent ones`") {
            val bursting = lessUrgent.copy(rateFactorAt = burst(BURST_FACTOR))
            val loads = listOf(urgent, bursting)
            val before = run(withoutUrgency, loads, instances)
            val after = run(PARAMETERS, loads, instances)
            after.inTimeShare(urgent) shouldBeGreaterThan before.inTimeShare(urgent)
            after.servedShare(urgent) shouldBeGreaterThan before.servedShare(urgent)
            after.servedShare(bursting) shouldBeGreaterThan after.servedShare(urgent) / 4
        }

        // Pattern: a team that sends seven times its usual requests.
        test("`$instances instances a zone serve the other teams while a team without rank sends too much`") {
            val hotTeam = Team(TeamName("hot"), emptySet(), rank = 2)
            val others = urgent.copy(perSecond = 20.0)
            val hot = urgent.copy(perSecond = 20.0, team = hotTeam, rateFactorAt = burst(7.0))
            val loads = listOf(others, hot, lessUrgent)
            val before = run(withoutUrgency, loads, instances)
            val after = run(PARAMETERS, loads, instances)
            after.inTimeShare(others) shouldBeGreaterThan before.inTimeShare(others)
            after.servedShare(others) shouldBeGreaterThan before.servedShare(others)
        }

        test("`$instances instances a zone decide by load alone while nothing is short`") {
            val loads = listOf(urgent, lessUrgent).map { it.copy(perSecond = it.perSecond / 4) }
            val before = run(withoutUrgency, loads, instances)
            val after = run(PARAMETERS, loads, instances)
            after shouldBe before
        }
    }
})
