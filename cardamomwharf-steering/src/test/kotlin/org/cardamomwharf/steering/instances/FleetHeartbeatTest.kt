/*
 * Heartbeats of whole fleets in virtual time, with delayed and lost datagrams.
 */
package org.cardamomwharf.steering.instances

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.rendezvousTop
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.store.StoreVersion
import kotlin.random.Random

private val CONTENT = ContentVersions(StoreVersion(1, 1), StoreVersion(1, 1))
private const val TIMEOUT_MS = 4_000L
private const val HEARTBEAT_INTERVAL_MS = 500L
private const val STEP_MS = 50L
private const val LOSS = 0.05
private const val WARM_UP_MS = 6_000L

/** The users' bound for the detection of stopped instances: the shortest stable window plus three seconds. */
private const val DETECTION_BOUND_MS = 6_000L
private val regions = (0 until 9).associate { ZoneName("z$it") to RegionName("r${it / 3}") }

class FleetHeartbeatTest : FunSpec({
    for (size in listOf(12, 95, 300)) {
        test("`no running instance of $size is considered down`") {
            val fleet = Fleet(size, Random(size))
            fleet.runUntil(WARM_UP_MS)
            val missing = ArrayList<String>()
            fleet.runUntil(WARM_UP_MS * 3) { missing += fleet.missing() }
            missing.shouldBeEmpty()
        }

        test("`stopped instances are detected by all of $size, including those that others report to`") {
            val fleet = Fleet(size, Random(size))
            fleet.runUntil(WARM_UP_MS)
            val stopped = fleet.firstInZone(ZoneName("z0"), 2) + fleet.firstInZone(ZoneName("z4"), 1)
            fleet.stop(stopped)
            val missing = ArrayList<String>()
            fleet.runUntil(WARM_UP_MS + DETECTION_BOUND_MS) { missing += fleet.missing() }
            fleet.runUntil(WARM_UP_MS * 3) {
                missing += fleet.missing()
                fleet.instancesCounting(stopped).shouldBeEmpty()
            }
            missing.shouldBeEmpty()
        }
    }

    test("`messages between zones grow with the number of zones, not with the pairs of instances`") {
        val perInstance = listOf(95, 300).map { size ->
            val fleet = Fleet(size, Random(size))
            fleet.runUntil(WARM_UP_MS)
            val before = fleet.betweenZones
            fleet.runUntil(WARM_UP_MS * 2)
            (fleet.betweenZones - before).toDouble() / size
        }
        perInstance[1] shouldBeLessThan perInstance[0]
    }
})

private class Member(val record: InstanceRecord, random: Random, val phaseMs: Long) {
    val registry = InstanceRegistry(record, Incarnation(1), TIMEOUT_MS)
    val election = WatcherElection(record)
    private val location = InstanceLocation(record.name, record.zone, regions)
    val exchange = HeartbeatExchange(location, registry, WatcherElection(record), random)
    var heartbeatNumber = 0
}

private class Datagram(val dueMs: Long, val to: InstanceName, val message: HeartbeatMessage)

/** A fleet of [size] instances in nine zones that all start at once and know each other from the store. */
private class Fleet(size: Int, private val random: Random) {
    private val members = (0 until size).associate { number ->
        val address = SocketAddress("10.0.${number / 200}.${number % 200 + 1}", 80)
        val record = InstanceRecord(InstanceName("front-$number"), ZoneName("z${number % 9}"), address, address)
        record.name to Member(record, random, random.nextLong(HEARTBEAT_INTERVAL_MS / STEP_MS) * STEP_MS)
    }.toMutableMap()
    private val listed = members.values.map { it.record }
    private var inTransit = ArrayList<Datagram>()
    private var nowMs = 0L

    /** Number of messages sent to another zone. */
    var betweenZones = 0
        private set

    init {
        members.values.forEach { it.registry.addAddresses(listed) }
    }

    fun runUntil(endMs: Long, check: () -> Unit = {}) {
        while (nowMs < endMs) {
            deliver()
            members.values.forEach { if (nowMs % HEARTBEAT_INTERVAL_MS == it.phaseMs) sendHeartbeats(it) }
            nowMs += STEP_MS
            if (nowMs % HEARTBEAT_INTERVAL_MS == 0L) check()
        }
    }

    fun stop(names: List<InstanceName>) {
        names.forEach { members.remove(it) }
    }

    fun firstInZone(zone: ZoneName, count: Int): List<InstanceName> =
        rendezvousTop(zone.value, listed.filter { it.zone == zone }, count) { it.name.value }.map { it.name }

    /** Returns the pairs of running instances in which the first doesn't count the second as running. */
    fun missing(): List<String> = members.values.flatMap { member ->
        val running = member.registry.running(nowMs).mapTo(HashSet()) { it.name }
        members.keys.filter { it !in running }.map { "${member.record.name.value} misses ${it.value} at $nowMs" }
    }

    /** Returns the instances that count one of [names] as running. */
    fun instancesCounting(names: List<InstanceName>): List<String> = members.values.flatMap { member ->
        member.registry.running(nowMs).filter { it.name in names }
            .map { "${member.record.name.value} counts ${it.name.value} at $nowMs" }
    }

    private fun sendHeartbeats(member: Member) {
        val others = listed.filter { it.name != member.record.name }
        val isWatcher = member.election.isWatcher(member.registry.running(nowMs), nowMs)
        val status = if (isWatcher) StoreStatus(CONTENT, 0, isFailing = false) else null
        member.exchange.nextHeartbeats(member.heartbeatNumber++, others, status, nowMs).forEach { send(member, it) }
    }

    private fun send(from: Member, sent: OutgoingHeartbeat) = sent.recipients.forEach { to ->
        if (to.zone != from.record.zone) betweenZones++
        if (random.nextDouble() >= LOSS) inTransit.add(Datagram(nowMs + STEP_MS, to.name, sent.message))
    }

    private fun deliver() {
        val (due, later) = inTransit.partition { it.dueMs <= nowMs }
        inTransit = ArrayList(later)
        due.forEach { datagram ->
            val member = members[datagram.to] ?: return@forEach
            member.exchange.receive(datagram.message, nowMs)
            datagram.message.storeStatus?.let { member.election.receive(datagram.message.sender.record, it, nowMs) }
        }
    }
}
