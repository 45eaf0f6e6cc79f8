/*
 * Large bodies stay in the zone of the instance while its servers have room. Pattern: uploads of 60 KB from all zones
 * of a region. If the servers of a key were ranked by region alone, half of them would cross zones.
 */
package org.cardamomwharf.steering.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.desired.TransferKind
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.servers.LoadReport
import org.cardamomwharf.steering.support.BOOKINGS
import org.cardamomwharf.steering.support.HOME
import org.cardamomwharf.steering.support.READS
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createSpec
import org.cardamomwharf.steering.support.createSteering
import org.cardamomwharf.steering.support.send

private const val KEYS = 40
private const val SLOTS = 4
private val OTHER_ZONE = ZoneName("a2")
private val uploads = BOOKINGS.copy(name = "uploads", transfer = TransferKind.UPLOAD)
private val downloads = READS.copy(name = "downloads", transfer = TransferKind.DOWNLOAD)

private fun createRegion() = createSteering(
    *Array(3) { createServer("home-$it", HOME, SLOTS) },
    *Array(3) { createServer("other-$it", OTHER_ZONE, SLOTS) },
)

private fun Steering.zoneOf(send: Placement.Send) = servers.find(send.server)?.record?.zone

class LargeBodyPlacementTest : FunSpec({
    listOf(uploads, downloads).forEach { route ->
        test("`requests of ${route.name} stay in the zone while its servers have free slots`") {
            val zones = (1..KEYS).map { key -> createRegion().let { it.zoneOf(it.send(createSpec(key, route))) } }
            zones.toSet() shouldBe setOf(HOME)
        }

        test("`requests of ${route.name} leave the zone when its servers are full`") {
            val steering = createRegion()
            repeat(3) {
                val server = steering.servers.findByService(route.backends.single().service)[it]
                server.load.recordLoadReport(LoadReport(running = SLOTS, waiting = 2 * SLOTS, slots = SLOTS), 0)
            }
            steering.zoneOf(steering.send(createSpec(1, route))) shouldBe OTHER_ZONE
        }
    }

    // A single server of the zone would get all keys and cache few of them.
    test("`large bodies are spread over the region by their keys when the zone has a single server`") {
        val zones = (1..KEYS).map { key ->
            val steering = createSteering(createServer("home"), *Array(3) { createServer("other-$it", OTHER_ZONE) })
            steering.zoneOf(steering.send(createSpec(key, downloads)))
        }
        zones.count { it == OTHER_ZONE } shouldBeGreaterThan KEYS / 4
    }

    test("`small requests are spread over the region by their keys`") {
        val zones = (1..KEYS).map { key -> createRegion().let { it.zoneOf(it.send(createSpec(key))) } }
        zones.count { it == OTHER_ZONE } shouldBeGreaterThan KEYS / 4
    }
})
