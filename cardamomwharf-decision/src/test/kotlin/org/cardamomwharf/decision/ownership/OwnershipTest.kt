/*
 * Verifies that backend servers and cap parts of a zone never have two owners among instances that receive each
 * other's heartbeats, whatever the order and the delay of heartbeats, pauses and joins.
 */
package org.cardamomwharf.decision.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.START_MS
import org.cardamomwharf.decision.support.createListedInstance
import org.cardamomwharf.decision.support.createMember
import org.cardamomwharf.decision.support.createServers
import org.cardamomwharf.decision.support.sampleDocument
import kotlin.random.Random

private const val STEP_MS = 100L

/** Simulates the instances of one zone, which exchange heartbeats with varying delays. */
private class SimulatedZone(names: List<String>, private val random: Random) {
    val entries = names.associate { InstanceName(it) to EntryHarness(createMember(it)) }
    private val messagesInTransit = mutableListOf<Triple<Long, InstanceName, EntryEvent>>()
    private val pausedUntilMs = mutableMapOf<InstanceName, Long>()
    var nowMs = START_MS

    fun start(names: Collection<InstanceName>) {
        val listed = entries.values.map { createListedInstance(it.member) }
        names.map { entries.getValue(it) }.forEach {
            it.nowMs = nowMs
            it.adopt(sampleDocument())
            it.handle(EntryEvent.PlatformListRead(listed, createServers(NORTH_A)))
        }
    }

    fun pause(name: InstanceName, ms: Long) {
        pausedUntilMs[name] = nowMs + ms
    }

    fun isRunning(name: InstanceName): Boolean = nowMs >= (pausedUntilMs[name] ?: 0)

    fun step(running: Collection<InstanceName>) {
        nowMs += STEP_MS
        val arrived = messagesInTransit.filter { it.first <= nowMs && it.second in running && isRunning(it.second) }
        messagesInTransit.removeAll(arrived)
        arrived.forEach { (_, to, event) -> deliver(to, event) }
        running.filter(::isRunning).forEach { deliver(it, EntryEvent.Tick(0)) }
    }

    private fun deliver(to: InstanceName, event: EntryEvent) {
        val entry = entries.getValue(to)
        entry.nowMs = nowMs
        entry.handle(event).filterIsInstance<EntryEffect.SendHeartbeat>().forEach { sent ->
            sent.addresses.forEach { address ->
                val atMs = nowMs + random.nextLong(1, 400)
                messagesInTransit += Triple(atMs, address.name, EntryEvent.HeartbeatReceived(sent.heartbeat))
            }
        }
    }

    /** Returns the servers that more than one running instance owns. */
    fun findSharedServers(running: Collection<InstanceName>): Set<String> = findShared(running) { entry ->
        entry.state.ownership.servers.map { it.value }
    }

    fun findSharedParts(running: Collection<InstanceName>): Set<String> = findShared(running) { entry ->
        entry.state.ownership.capParts.map { it.toString() }
    }

    private fun findShared(running: Collection<InstanceName>, held: (EntryHarness) -> List<String>): Set<String> =
        running.filter(::isRunning)
            .flatMap { held(entries.getValue(it)) }
            .groupingBy { it }.eachCount()
            .filterValues { it > 1 }
            .keys
}

class OwnershipTest : FunSpec({
    val all = listOf("e1", "e2", "e3").map(::InstanceName)

    test("`instances that start together divide all servers and cap parts among themselves`") {
        val zone = SimulatedZone(all.map { it.value }, Random(1))
        zone.start(all)
        repeat(100) { zone.step(all) }
        zone.entries.values.flatMap { it.state.ownership.servers }.size shouldBe 4
        zone.entries.values.sumOf { it.state.ownership.capParts.size } shouldBe CAP_PARTS
    }

    test("`servers of a dead instance get new owners, and its cap parts only when it is no longer listed`") {
        val zone = SimulatedZone(all.map { it.value }, Random(2))
        zone.start(all)
        repeat(100) { zone.step(all) }
        val left = all.drop(1)
        repeat(100) { zone.step(left) }
        val living = left.map { zone.entries.getValue(it) }
        living.flatMap { it.state.ownership.servers }.size shouldBe 4
        (living.sumOf { it.state.ownership.capParts.size } < CAP_PARTS) shouldBe true
        living.forEach { entry ->
            val listed = left.map { createListedInstance(zone.entries.getValue(it).member) }
            entry.handle(EntryEvent.PlatformListRead(listed, createServers(NORTH_A)))
        }
        repeat(50) { zone.step(left) }
        living.sumOf { it.state.ownership.capParts.size } shouldBe CAP_PARTS
    }

    test("`no server and no cap part has two owners despite delays, late joins and pauses`") {
        checkAll(PropTestConfig(seed = 20_261_204, iterations = 60), Arb.long()) { seed ->
            val random = Random(seed)
            val zone = SimulatedZone(all.map { it.value }, random)
            val first = all.take(2)
            zone.start(first)
            repeat(80) { zone.step(first) }
            zone.start(all.drop(2))
            repeat(300) { round ->
                if (round % 60 == 10) zone.pause(all.random(random), random.nextLong(500, 6_000))
                zone.step(all)
                zone.findSharedServers(all).shouldBeEmpty()
                zone.findSharedParts(all).shouldBeEmpty()
            }
        }
    }
})
