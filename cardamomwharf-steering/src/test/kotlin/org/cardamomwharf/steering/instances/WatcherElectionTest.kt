/*
 * Tests which instances watch the store while others fail, fall silent or have newer content.
 */
package org.cardamomwharf.steering.instances

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.store.StoreVersion

private val OLD = ContentVersions(orders = StoreVersion(1, 3), servers = StoreVersion(1, 7))
private val NEW = ContentVersions(orders = StoreVersion(1, 3), servers = StoreVersion(1, 9))

class WatcherElectionTest : FunSpec({
    fun record(name: String, zone: String = "z1") =
        InstanceRecord(InstanceName(name), ZoneName(zone), SocketAddress("10.0.0.1", 80), SocketAddress("10.0.0.1", 90))

    val zone = listOf(record("a"), record("b"), record("c"))
    val working = StoreStatus(OLD, silentForMs = 100, isFailing = false)

    /** Returns the instances that watch the store when all have received [reports] at time 0. */
    fun watchers(reports: Map<String, StoreStatus>, nowMs: Long): List<String> = zone.filter { own ->
        val election = WatcherElection(own)
        reports.forEach { (name, status) -> election.receive(record(name), status, 0) }
        election.isWatcher(zone, nowMs)
    }.map { it.name.value }

    val first = zone.single { own ->
        val election = WatcherElection(own)
        (zone - own).forEach { election.receive(it, working, 0) }
        election.isWatcher(zone, 0)
    }.name.value

    test("`one instance watches the store when all of its zone receive its status`") {
        watchers(mapOf(first to working), 500) shouldBe listOf(first)
    }

    test("`all instances watch the store when no status is received`") {
        watchers(emptyMap(), 0) shouldHaveSize 3
    }

    test("`a watcher that is silent, fails or gets no response from the store is replaced`") {
        watchers(mapOf(first to working), 1_300) shouldHaveSize 3
        watchers(mapOf(first to working.copy(isFailing = true)), 500) shouldHaveSize 3
        watchers(mapOf(first to working.copy(silentForMs = 4_000)), 500) shouldHaveSize 3
    }

    test("`one replacement is enough while the first watcher fails`") {
        val second = (zone.map { it.name.value } - first).first { name ->
            watchers(mapOf(first to working.copy(isFailing = true), name to working), 500).sorted() ==
                listOf(first, name).sorted()
        }
        (second != first) shouldBe true
    }

    test("`another zone is asked for newer content only when the own zone doesn't provide it`") {
        val election = WatcherElection(record("a"))
        election.receive(record("x", "z2"), working.copy(content = NEW), 0)
        election.instancesAheadOf(OLD, 100) shouldHaveSize 0
        election.receive(record("x", "z2"), working.copy(content = NEW), 200)
        election.instancesAheadOf(OLD, 300).map { it.name.value } shouldBe listOf("x")
        election.receive(record("b"), working.copy(content = NEW), 300)
        election.instancesAheadOf(OLD, 300).map { it.name.value } shouldBe listOf("b", "x")
        election.instancesAheadOf(NEW, 300) shouldHaveSize 0
    }

    test("`two candidates are notified in each other zone, in case the watcher has just stopped`") {
        val others = listOf(record("x", "z2"), record("y", "z2"), record("w", "z2"), record("v", "z3"))
        WatcherElection(record("a")).candidatesInOtherZones(zone + others).map { it.zone.value }.sorted() shouldBe
            listOf("z2", "z2", "z3")
    }
})
