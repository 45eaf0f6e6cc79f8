/*
 * Tests the split of a route among services over all instances of a deployment.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.support.HOME
import org.cardamomwharf.steering.support.PARAMETERS
import org.cardamomwharf.steering.support.READS
import org.cardamomwharf.steering.support.ZONES
import org.cardamomwharf.steering.support.add
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createSpec
import org.cardamomwharf.steering.support.createState
import kotlin.math.abs
import kotlin.random.Random

private const val REQUESTS = 2_000
private const val WINDOW = 200
private const val SMALL_WEIGHT = 0.1
private const val MAX_DEVIATION = 0.1
private val LARGE = ServiceName("large")
private val SMALL = ServiceName("small")
private val SPLIT = READS.copy(backends = listOf(WeightedService(LARGE, 90.0), WeightedService(SMALL, 10.0)))

private fun createInstance(number: Int): Steering {
    val steering = Steering(InstanceLocation(InstanceName("i$number"), HOME, ZONES), PARAMETERS)
    steering.routes.adopt(createState(1, SPLIT))
    steering.setLiveInstances(emptyMap(), 0)
    steering.add(
        *(1..20).map { createServer("l$it", slots = 8).copy(service = LARGE) }.toTypedArray(),
        createServer("s1", slots = 1).copy(service = SMALL),
        createServer("s2", slots = 1).copy(service = SMALL),
    )
    return steering
}

class SplitRouteTest : FunSpec({
    listOf(12, 66, 112).forEach { count ->
        // Pattern: instances that start, or receive a new configuration, together.
        test("`$count instances that start together keep the weights in every $WINDOW requests`") {
            (1..3).forEach { seed ->
                val random = Random(seed)
                val instances = (1..count).map { createInstance(it) }
                val chosen = (1..REQUESTS).map { instances[random.nextInt(count)].routes.chooseService(SPLIT) }
                val largest = chosen.windowed(WINDOW).maxOf { window ->
                    abs(window.count { it == SMALL }.toDouble() / WINDOW - SMALL_WEIGHT)
                }
                largest shouldBeLessThanOrEqual MAX_DEVIATION
            }
        }
    }

    test("`requests beyond the room of one part are refused and not moved to another one`") {
        val steering = createInstance(1)
        val placed = (1..500).map { id ->
            val service = steering.routes.chooseService(SPLIT)
            service to steering.place(createSpec(id, SPLIT).copy(service = service), 0)
        }
        placed.count { it.first == SMALL } shouldBe 50
        placed.filter { it.first == SMALL }.count { it.second is Placement.Refuse } shouldBeGreaterThan 40
        placed.mapNotNull { (service, placement) -> (placement as? Placement.Send)?.let { service to it } }
            .all { (service, sent) -> sent.server.value.startsWith(service.value.take(1)) } shouldBe true
    }

    test("`a retry stays with the service of its request`") {
        val steering = createInstance(1)
        val spec = createSpec(1, SPLIT).copy(service = SMALL)
        val sent = steering.place(spec, 0).shouldBeInstanceOf<Placement.Send>()
        val report = AttemptReport(AttemptOutcome.SHED, false, 2)
        val next = steering.completeAttempt(spec, listOf(sent), report, 2).shouldBeInstanceOf<NextStep.Retry>()
        next.placement.server.value.first() shouldBe 's'
    }
})
