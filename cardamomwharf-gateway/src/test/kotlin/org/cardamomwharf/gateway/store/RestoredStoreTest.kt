/*
 * Tests that changes reach all instances after the store was restored from an older copy and gives out versions again.
 * The store loses what was written since the copy; operators and servers write their latest state again. In virtual
 * time, without a network.
 */
package org.cardamomwharf.gateway.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.cardamomwharf.gateway.support.StoreFleet
import org.cardamomwharf.gateway.support.createServerRecord
import org.cardamomwharf.platform.standin.StoreCopy

/** Time within which a change has to be in force everywhere; the shortest bound of the users is 2,000 ms. */
private const val APPLY_MS = 2_000L
private const val OUTAGE_MS = 2_000L
private const val SETTLE_MS = 5_000L
private const val STEP_MS = 50L

/** Steps within 1.5 s, the interval in which the users' servers write their entries again. */
private const val HEARTBEAT_STEPS = 30

/** Starts a fleet that knows three versions and two servers; returns it with the copy taken before the third one. */
private fun startFleet(count: Int, seed: Int): Pair<StoreFleet, StoreCopy> {
    val fleet = StoreFleet(count, seed)
    fleet.writeServer(createServerRecord("s1"))
    fleet.writeServer(createServerRecord("s2", "b1"))
    fleet.changeConfiguration()
    fleet.run(SETTLE_MS)
    fleet.changeConfiguration()
    fleet.run(SETTLE_MS)
    val copy = fleet.store.copy()
    fleet.changeConfiguration()
    fleet.run(SETTLE_MS)
    return fleet to copy
}

private fun StoreFleet.restore(copy: StoreCopy, whileAway: () -> Unit = {}) {
    goBack(copy, whileAway)
    writeAgain()
}

/** Restores the store from [copy]; nothing is written again yet. */
private fun StoreFleet.goBack(copy: StoreCopy, whileAway: () -> Unit = {}) {
    setStoreAway(true)
    run(OUTAGE_MS)
    store.restore(copy)
    whileAway()
    setStoreAway(false)
}

private fun StoreFleet.checkNextChange(expected: Long) {
    changeConfiguration()
    run(APPLY_MS)
    desiredVersions().distinct() shouldContainExactly listOf(expected)
}

class RestoredStoreTest : FunSpec({
    for (count in listOf(12, 66)) {
        // Guards against instances that miss a change because its version was given out before the restore.
        test("`with $count instances a change with a version that was given out before is in force everywhere`") {
            val (fleet, copy) = startFleet(count, seed = 1)
            fleet.changeConfiguration()
            fleet.run(SETTLE_MS)
            fleet.goBack(copy)
            fleet.writeConfigurationAgain()
            fleet.run(SETTLE_MS)
            fleet.desiredVersions().distinct() shouldContainExactly listOf(4L)
            fleet.checkNextChange(5)
            fleet.checkNextChange(6)
        }
    }

    test("`a store that is restored twice from the same copy loses no change`") {
        val (fleet, copy) = startFleet(count = 12, seed = 2)
        repeat(2) { round ->
            fleet.restore(copy)
            fleet.run(SETTLE_MS)
            fleet.checkNextChange(4L + round)
        }
    }

    // Guards against watchers that discard readings until the versions have passed those before the restore.
    test("`a change right after the return of a store that lost many versions is in force in time`") {
        val (fleet, copy) = startFleet(count = 12, seed = 3)
        repeat(40) { fleet.writeServer(createServerRecord("s1", startedAtUnixMs = 2L + it)) }
        fleet.run(SETTLE_MS)
        fleet.restore(copy)
        fleet.checkNextChange(4)
    }

    // Guards against a long poll that ends after the restore and skips the versions that were given out again.
    test("`a restore during a long poll, followed by many writes, loses no change`") {
        val (fleet, copy) = startFleet(count = 12, seed = 4)
        fleet.store.restore(copy)
        fleet.changeConfiguration()
        fleet.writeServer(createServerRecord("s3", "c1"))
        repeat(40) { fleet.writeServer(createServerRecord("s2", "b1", startedAtUnixMs = 2L + it)) }
        fleet.run(APPLY_MS)
        fleet.desiredVersions().distinct() shouldContainExactly listOf(4L)
        fleet.instancesUsing("s3") shouldBe (0..11).toList()
    }

    test("`instances that are cut off from the store or from all others during a restore lose no change`") {
        val (fleet, copy) = startFleet(count = 12, seed = 5)
        repeat(2) { round ->
            fleet.cut(0..3, isCut = true)
            fleet.cut(4..5, isCut = true, isAll = true)
            fleet.restore(copy)
            fleet.run(SETTLE_MS)
            fleet.changeConfiguration()
            fleet.run(APPLY_MS)
            val reached = fleet.desiredVersions().filterIndexed { index, _ -> index !in 4..5 }
            reached.distinct() shouldContainExactly listOf(4L + 2 * round)
            fleet.cut(0..5, isCut = false)
            fleet.run(APPLY_MS)
            fleet.checkNextChange(5L + 2 * round)
        }
    }

    test("`instances that restart before, during and after a restore lose no change`") {
        val (fleet, copy) = startFleet(count = 12, seed = 6)
        fleet.restart(0..1)
        fleet.run(APPLY_MS)
        fleet.restore(copy) {
            fleet.restart(2..5)
            fleet.run(APPLY_MS)
        }
        fleet.restart(6..7)
        fleet.run(SETTLE_MS)
        fleet.checkNextChange(4)
    }

    test("`after a restore instances don't call the store more often than before`") {
        val (fleet, copy) = startFleet(count = 12, seed = 7)
        fleet.restore(copy)
        fleet.run(SETTLE_MS)
        val before = fleet.storeCalls
        fleet.run(SETTLE_MS)
        // Six watchers of two tables, each with a call every 50 ms in this model.
        (fleet.storeCalls - before <= 6 * 2 * SETTLE_MS / 50) shouldBe true
    }

    test("`a server that was removed after the restore is used no longer`") {
        val (fleet, copy) = startFleet(count = 12, seed = 8)
        fleet.restore(copy)
        fleet.run(SETTLE_MS)
        fleet.instancesUsing("s2") shouldBe (0..11).toList()
        fleet.removeServer("s2")
        fleet.run(APPLY_MS)
        fleet.instancesUsing("s2").shouldBeEmpty()
    }

    // Guards against requests to servers that had said before the restore that they are leaving.
    test("`a server that is leaving stays excluded while the restored store calls it ready`") {
        val (fleet, copy) = startFleet(count = 12, seed = 9)
        fleet.writeServer(createServerRecord("s1").copy(isDraining = true))
        fleet.run(SETTLE_MS)
        fleet.goBack(copy)
        repeat(HEARTBEAT_STEPS) {
            fleet.run(STEP_MS)
            fleet.instancesUsing("s1").shouldBeEmpty()
        }
        fleet.writeAgain()
        fleet.run(SETTLE_MS)
        fleet.instancesUsing("s1").shouldBeEmpty()
        fleet.writeServer(createServerRecord("s1", startedAtUnixMs = 2))
        fleet.run(APPLY_MS)
        fleet.instancesUsing("s1") shouldBe (0..11).toList()
    }

    // Guards against requests to servers that were gone before the restore; their addresses may belong to others.
    test("`a server that is gone isn't used again because the restored store still has it`") {
        val (fleet, copy) = startFleet(count = 12, seed = 10)
        fleet.removeServer("s2")
        fleet.run(SETTLE_MS)
        fleet.goBack(copy)
        fleet.writeAgain()
        repeat(3 * HEARTBEAT_STEPS) {
            fleet.run(STEP_MS)
            fleet.instancesUsing("s2").shouldBeEmpty()
        }
        fleet.removeServer("s2")
        fleet.run(2 * SETTLE_MS)
        fleet.instancesUsing("s2").shouldBeEmpty()
    }

    test("`a server that was believed gone is used as soon as it writes its entry again`") {
        val (fleet, copy) = startFleet(count = 12, seed = 11)
        fleet.removeServer("s2")
        fleet.run(SETTLE_MS)
        fleet.restore(copy)
        fleet.run(APPLY_MS)
        fleet.writeServer(createServerRecord("s2", "b1").copy(slots = 5))
        fleet.run(APPLY_MS)
        fleet.instancesUsing("s2") shouldBe (0..11).toList()
    }

    test("`a server that was believed gone is used when the store keeps its entry`") {
        val (fleet, copy) = startFleet(count = 12, seed = 12)
        fleet.removeServer("s2")
        fleet.run(SETTLE_MS)
        fleet.restore(copy)
        fleet.run(2 * SETTLE_MS)
        fleet.instancesUsing("s2") shouldBe (0..11).toList()
    }

    // Guards against refusals because servers that joined after the copy was made are missing in it.
    test("`a server that the restored store lacks is used until it writes its entry again`") {
        val (fleet, copy) = startFleet(count = 12, seed = 13)
        fleet.writeServer(createServerRecord("s3", "c1"))
        fleet.run(SETTLE_MS)
        fleet.store.restore(copy)
        repeat(HEARTBEAT_STEPS) {
            fleet.run(STEP_MS)
            fleet.instancesUsing("s3") shouldBe (0..11).toList()
        }
        fleet.writeAgain()
        fleet.run(SETTLE_MS)
        fleet.instancesUsing("s3") shouldBe (0..11).toList()
    }

    // Guards against requests to an evacuated zone because the copy was made before its evacuation.
    test("`an evacuation that the restored store lacks stays in force until it is written again`") {
        val (fleet, copy) = startFleet(count = 12, seed = 14)
        fleet.evacuate("a1", isEvacuated = true)
        fleet.run(SETTLE_MS)
        fleet.goBack(copy)
        repeat(HEARTBEAT_STEPS) {
            fleet.run(STEP_MS)
            fleet.instancesUsing("s1").shouldBeEmpty()
        }
        fleet.evacuate("a1", isEvacuated = true)
        fleet.run(SETTLE_MS)
        fleet.instancesUsing("s1").shouldBeEmpty()
        fleet.evacuate("a1", isEvacuated = false)
        fleet.run(SETTLE_MS)
        fleet.instancesUsing("s1") shouldBe (0..11).toList()
    }

    test("`a configuration in force is never replaced by an older one from the restored store`") {
        val (fleet, copy) = startFleet(count = 12, seed = 15)
        fleet.goBack(copy)
        fleet.run(APPLY_MS)
        fleet.desiredVersions().distinct() shouldContainExactly listOf(3L)
        fleet.cut(0..3, isCut = true)
        fleet.restart(4..4)
        fleet.run(APPLY_MS)
        fleet.writeAgain()
        fleet.run(APPLY_MS)
        fleet.desiredVersions().distinct() shouldContainExactly listOf(3L)
    }
})
