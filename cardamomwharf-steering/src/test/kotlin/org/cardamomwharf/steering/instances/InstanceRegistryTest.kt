/*
 * Tests which instances the registry reports as serving, and the selection for callers.
 */
package org.cardamomwharf.steering.instances

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName

class InstanceRegistryTest : FunSpec({
    fun record(name: String, zone: String = "z1") =
        InstanceRecord(InstanceName(name), ZoneName(zone), SocketAddress("10.0.0.1", 80), SocketAddress("10.0.0.1", 90))

    fun heartbeat(name: String, incarnation: Long, count: Long, isLeaving: Boolean = false) =
        Heartbeat(record(name), Incarnation(incarnation), count, isLeaving)

    fun createRegistry() = InstanceRegistry(record("own"), Incarnation(1), timeoutMs = 4_000)
    fun InstanceRegistry.names(nowMs: Long) = serving(nowMs).map { it.name.value }.sorted()

    test("`an instance whose heartbeat count stops growing is removed, however often the count is relayed`") {
        val registry = createRegistry()
        registry.receive(heartbeat("b", 1, 7), 0)
        registry.names(3_000) shouldBe listOf("b", "own")
        registry.receive(heartbeat("b", 1, 7), 3_500)
        registry.names(4_100) shouldBe listOf("own")
    }

    test("`a leaving instance is not serving, and serves again after a restart`") {
        val registry = createRegistry()
        registry.receive(heartbeat("b", 1, 7), 0)
        registry.receive(heartbeat("b", 1, 8, isLeaving = true), 100)
        registry.names(200) shouldBe listOf("own")
        registry.receive(heartbeat("b", 1, 7), 300)
        registry.names(400) shouldBe listOf("own")
        registry.receive(heartbeat("b", 2, 1), 500)
        registry.names(600) shouldBe listOf("b", "own")
    }

    test("`an instance that restarts after its clock was set back serves again`") {
        val registry = createRegistry()
        registry.receive(heartbeat("b", 5_000, 7), 0)
        val restarted = InstanceRegistry(record("b"), Incarnation(2_000), timeoutMs = 4_000)
        restarted.receive(registry.heartbeats(100).single { it.record.name.value == "b" }, 100)
        registry.receive(heartbeat("b", 5_000, 8, isLeaving = true), 150)
        registry.names(200) shouldBe listOf("own")
        registry.receive(restarted.heartbeats(300).single { it.record.name.value == "b" }, 300)
        registry.names(400) shouldBe listOf("b", "own")
    }

    test("`an instance without heartbeats for long may return with an older incarnation`") {
        val registry = createRegistry()
        registry.receive(heartbeat("b", 5_000, 7), 0)
        registry.receive(heartbeat("b", 2_000, 1), 5_000)
        registry.names(5_100) shouldBe listOf("own")
        registry.receive(heartbeat("b", 2_000, 2), 13_000)
        registry.names(13_100) shouldBe listOf("b", "own")
    }

    test("`callers receive instances of their zone, then of their region, then all`") {
        val regions = mapOf(ZoneName("z1") to RegionName("r"), ZoneName("z2") to RegionName("r"))
        val all = listOf(record("a"), record("b"), record("c", "z2"))
        fun chosen(serving: List<InstanceRecord>, zone: String) =
            chooseInstances(serving, regions, ZoneName(zone), RegionName("r")).instances.map { it.name.value }
        chosen(all, "z1") shouldBe listOf("a", "b")
        chosen(all, "z2") shouldBe listOf("a", "b", "c")
        chooseInstances(all, regions, ZoneName("z9"), RegionName("s")).instances.size shouldBe 3
    }
})
