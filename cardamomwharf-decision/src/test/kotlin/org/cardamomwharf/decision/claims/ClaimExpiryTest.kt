/*
 * Tests the scheduling of the deletion of old claim rows.
 */
package org.cardamomwharf.decision.claims

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.NORTH_B
import org.cardamomwharf.decision.support.SOUTH_A
import org.cardamomwharf.decision.support.SOUTH_B
import org.cardamomwharf.decision.support.createListedInstance
import org.cardamomwharf.decision.support.createMember
import org.cardamomwharf.decision.support.createServers
import org.cardamomwharf.decision.support.sampleDocument

private const val HOUR_SECONDS = 3_600L

/** Returns one instance for each zone. */
private fun startZones(): List<EntryHarness> = listOf(NORTH_A, NORTH_B, SOUTH_A, SOUTH_B).map { zone ->
    EntryHarness(createMember("e-${zone.value}", zone)).apply {
        adopt(sampleDocument())
        handle(EntryEvent.PlatformListRead(listOf(createListedInstance(member)), createServers(zone)))
        runFor(4_000)
    }
}

private fun EntryHarness.passHour(hour: Long): List<EntryEffect.ExpireClaims> {
    nowMs += 1_000
    return tickIn(hour)
}

private fun EntryHarness.tickIn(hour: Long): List<EntryEffect.ExpireClaims> =
    handle(EntryEvent.Tick(hour * HOUR_SECONDS)).filterIsInstance<EntryEffect.ExpireClaims>()

/** Returns an instance and an hour in which the deletion is assigned to it, after its first call. */
private fun startAssigned(): Pair<EntryHarness, Long> {
    val entry = startZones().first()
    val hour = (1L..100L).first { entry.passHour(it).isNotEmpty() }
    return entry to hour
}

class ClaimExpiryTest : FunSpec({
    test("`each hour the deletion is assigned to one zone, and over time to every zone`") {
        val entries = startZones()
        val callers = (1L..40L).map { hour ->
            entries.forEach { it.runFor(60_000) }
            entries.filter { it.passHour(hour).isNotEmpty() }
        }
        callers.forEach { it shouldHaveSize 1 }
        callers.flatten().distinct() shouldHaveSize entries.size
    }

    test("`rows older than the retention period are deleted, with short pauses while batches are full`") {
        val (entry, hour) = startAssigned()
        entry.handle(EntryEvent.ClaimsExpired(MAX_EXPIRED_ROWS))
        entry.tickIn(hour).shouldBeEmpty()
        val call = entry.passHour(hour).single()
        call.unwrittenForSeconds shouldBe 24 * HOUR_SECONDS
        entry.handle(EntryEvent.ClaimsExpired(MAX_EXPIRED_ROWS - 1))
        entry.runFor(1_000)
        entry.passHour(hour).shouldBeEmpty()
    }

    test("`a call without a reply is repeated after a minute, and a leaving instance makes no calls`") {
        val (entry, hour) = startAssigned()
        entry.handle(EntryEvent.ClaimsExpired(null))
        entry.runFor(30_000)
        entry.passHour(hour).shouldBeEmpty()
        entry.runFor(30_000)
        entry.passHour(hour) shouldHaveSize 1
        entry.handle(EntryEvent.LeaveRequested)
        entry.runFor(60_000)
        entry.passHour(hour).shouldBeEmpty()
    }
})
