/*
 * Tests that no instance uses a key later than the bound after its withdrawal, whatever is cut, slow or paused, and
 * that valid keys are used while nothing is wrong. In virtual time, without a network.
 */
package org.cardamomwharf.gateway.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.cardamomwharf.gateway.support.KeyFleet
import org.cardamomwharf.gateway.support.KeyFleetMember
import org.cardamomwharf.gateway.support.MAX_KEY_AGE_MS

private const val SETTLE_MS = 6_000L

/** Age that a proof usually stays below, so that lost datagrams don't make it too old. */
private const val USUAL_AGE_MS = 3_500L

/** Delay of datagrams that are held back; almost the bound. */
private const val LATE_MS = 4_500L
private const val MINUTE_MS = 60_000L
private val both = mapOf("w1" to "weavers", "w2" to "weavers", "d1" to "dyers")
private val withoutW1 = both - "w1"

/** Returns a fleet that uses the keys [both]. */
private fun startFleet(count: Int = 12, seed: Int = 1, lossOneIn: Int? = null) =
    KeyFleet(count, seed, lossOneIn).apply {
        configure(both)
        run(SETTLE_MS)
        clearCounts()
        instancesAccepting("w1") shouldContainExactly members.indices.toList()
    }

private fun KeyFleetMember.cutOff(isCut: Boolean, cutStore: () -> Unit) {
    isSendingCut = isCut
    isReceivingCut = isCut
    cutStore()
}

private fun KeyFleet.membersOfZone(zone: String) = members.filter { it.record.zone.value == zone }

class WithdrawnKeyTest : FunSpec({
    for (count in listOf(12, 66)) {
        test("`with $count instances and 5 % of datagrams lost no valid key is refused`") {
            val fleet = startFleet(count, seed = count, lossOneIn = 20)
            val calls = fleet.storeCalls
            fleet.run(MINUTE_MS)
            println(
                "instances=$count maxProofAgeMs=${fleet.maxProofAgeMs} refused=${fleet.refused} " +
                    "orderCallsPerS=${(fleet.storeCalls - calls) / 60.0} peerCalls=${fleet.peerCalls}",
            )
            fleet.refused shouldBe 0
        }

        test("`with $count instances proofs stay well below the bound without losses`") {
            val fleet = startFleet(count, seed = count + 1)
            fleet.run(MINUTE_MS)
            println("instances=$count maxProofAgeMs=${fleet.maxProofAgeMs} peerCalls=${fleet.peerCalls}")
            fleet.maxProofAgeMs shouldBeLessThan USUAL_AGE_MS
        }
    }

    test("`a withdrawn key, a moved key and a team without keys are in force everywhere`") {
        val fleet = startFleet(count = 66, seed = 3, lossOneIn = 20)
        fleet.configure(mapOf("w2" to "dyers", "d1" to "dyers"))
        fleet.run(MAX_KEY_AGE_MS)
        fleet.instancesAccepting("w1").shouldBeEmpty()
        fleet.instancesAccepting("w2") shouldContainExactly fleet.members.indices.toList()
        fleet.configure(emptyMap())
        fleet.run(MAX_KEY_AGE_MS)
        fleet.instancesAccepting("w2").shouldBeEmpty()
        fleet.instancesServingPublic() shouldContainExactly fleet.members.indices.toList()
    }

    val faults = mapOf<String, KeyFleetMember.(Boolean) -> Unit>(
        "is paused" to { isPaused = it },
        "can't send" to { isSendingCut = it },
        "receives nothing" to { isReceivingCut = it },
        "is cut off" to { cutOff(it) { isRefusedByStore = it } },
        "is cut off without notice" to { cutOff(it) { isStoreSilent = it } },
        "sends datagrams that arrive late" to { sendDelayMs = if (it) LATE_MS else 0 },
    )
    for ((name, set) in faults) {
        for (seed in 1..4) {
            test("`an instance that $name uses no withdrawn key, seed $seed`") {
                val fleet = startFleet(seed = seed, lossOneIn = 20)
                val affected = fleet.membersOfZone("a1") + fleet.membersOfZone("b2").take(1)
                affected.forEach { it.set(true) }
                fleet.run(seed * 300L)
                fleet.configure(withoutW1)
                fleet.run(seed * 2_700L)
                affected.forEach { it.set(false) }
                fleet.run(SETTLE_MS)
                fleet.instancesAccepting("w1").shouldBeEmpty()
                fleet.instancesAccepting("w2") shouldContainExactly fleet.members.indices.toList()
            }
        }
    }

    // Guards against a proof that counts from the arrival of an answer. A single instance hears nothing from others.
    test("`an instance alone with a store that answers 4 s late uses no withdrawn key`") {
        for (phaseMs in 0..5_000L step 250) {
            val fleet = startFleet(count = 1)
            fleet.storeDelayMs = 4_000
            fleet.run(SETTLE_MS + phaseMs)
            fleet.configure(withoutW1)
            fleet.run(3 * SETTLE_MS)
            fleet.instancesAccepting("w1").shouldBeEmpty()
        }
    }

    for (delayMs in listOf(300L, 1_500, 4_000)) {
        test("`a store that answers $delayMs ms late confirms no withdrawn key`") {
            val fleet = startFleet(seed = 9)
            fleet.storeDelayMs = delayMs
            fleet.run(SETTLE_MS)
            fleet.configure(withoutW1)
            fleet.run(MINUTE_MS / 4)
            fleet.storeDelayMs = 5
            fleet.run(SETTLE_MS)
            fleet.instancesAccepting("w1").shouldBeEmpty()
        }
    }

    listOf<Pair<String, KeyFleetMember.(Boolean) -> Unit>>(
        "refuses" to { isRefusedByStore = it },
        "doesn't answer" to { isStoreSilent = it },
    ).forEach { (name, set) ->
        test("`instances of a zone that the store $name go on through other zones`") {
            val fleet = startFleet(count = 66, seed = 10, lossOneIn = 20)
            fleet.membersOfZone("a1").forEach { it.set(true) }
            fleet.run(MINUTE_MS)
            println("$name: zone without store: maxProofAgeMs=${fleet.maxProofAgeMs} refused=${fleet.refused}")
            fleet.refused shouldBe 0
            fleet.configure(withoutW1)
            fleet.run(MAX_KEY_AGE_MS)
            fleet.instancesAccepting("w1").shouldBeEmpty()
        }

        test("`one watcher that the store $name is replaced before its zone refuses keys`") {
            val fleet = startFleet(count = 66, seed = 11, lossOneIn = 20)
            fleet.membersOfZone("a1").forEach { member ->
                member.set(true)
                fleet.run(SETTLE_MS)
                member.set(false)
            }
            fleet.refused shouldBe 0
        }

        test("`without the store, which $name, keys are refused before the bound and public routes are served`") {
            val fleet = startFleet(seed = 12)
            fleet.members.forEach { it.set(true) }
            fleet.configure(withoutW1)
            fleet.run(MAX_KEY_AGE_MS)
            listOf("w1", "w2", "d1").forEach { fleet.instancesAccepting(it).shouldBeEmpty() }
            fleet.instancesServingPublic() shouldContainExactly fleet.members.indices.toList()
            fleet.members.forEach { it.set(false) }
            fleet.run(SETTLE_MS)
            fleet.instancesAccepting("w2") shouldContainExactly fleet.members.indices.toList()
            fleet.instancesAccepting("w1").shouldBeEmpty()
        }
    }

    test("`instances that restart use only what is confirmed`") {
        val fleet = startFleet(seed = 13, lossOneIn = 20)
        fleet.configure(withoutW1)
        fleet.restart(0..5)
        fleet.run(SETTLE_MS)
        fleet.restart(6..11)
        fleet.run(SETTLE_MS)
        fleet.instancesAccepting("w1").shouldBeEmpty()
        fleet.instancesAccepting("w2") shouldContainExactly fleet.members.indices.toList()
    }

    test("`a store restored from an older copy brings no key back`") {
        val fleet = startFleet(seed = 14, lossOneIn = 20)
        fleet.configure(withoutW1)
        fleet.run(SETTLE_MS)
        fleet.restore(both, lostVersions = 1)
        fleet.run(2 * SETTLE_MS)
        fleet.instancesAccepting("w1").shouldBeEmpty()
        fleet.writeAgain()
        fleet.run(SETTLE_MS)
        fleet.instancesAccepting("w1").shouldBeEmpty()
        fleet.instancesAccepting("w2") shouldContainExactly fleet.members.indices.toList()
    }
})
