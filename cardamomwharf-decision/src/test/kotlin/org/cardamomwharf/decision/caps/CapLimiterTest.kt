/*
 * Verifies that shares, parts and loans together never permit more than the cap in any window of a second, whatever
 * the delay of loan messages and the pauses of borrowers.
 */
package org.cardamomwharf.decision.caps

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.decision.ownership.CAP_PARTS
import org.cardamomwharf.decision.support.ALL_ZONES
import org.cardamomwharf.decision.support.NORTH
import org.cardamomwharf.decision.support.SOUTH
import org.cardamomwharf.decision.support.sampleDocument
import kotlin.random.Random

private const val CAP = 1_000_000L
private const val WINDOW_MS = 1_000
private const val STEP_MS = 10L
private const val RUN_MS = 20_000L
private val cap = CapId.LinkBytes(NORTH, SOUTH)

/** Two instances of one zone that use all available units and lend to each other. */
private class LendingInstances(private val random: Random, zoneShare: Long) {
    private val names = listOf(InstanceName("e1"), InstanceName("e2"))
    private val limiters = names.map { CapLimiter(burstMs = 100).update(mapOf(cap to zoneShare), CAP_PARTS / 2, 0) }
        .toMutableList()
    private val pausedUntilMs = longArrayOf(0, 0)
    private val grantsInTransit = mutableListOf<Triple<Long, Int, LoanGrant>>()
    val usedUnitsByMs = mutableMapOf<Long, Long>()

    fun run() {
        var nowMs = 0L
        while (nowMs < RUN_MS) {
            nowMs += STEP_MS
            for (index in names.indices) if (nowMs >= pausedUntilMs[index]) step(index, nowMs)
        }
    }

    private fun step(index: Int, nowMs: Long) {
        if (random.nextInt(400) == 0) {
            pausedUntilMs[index] = nowMs + random.nextLong(100, 9_000)
            return
        }
        val arrived = grantsInTransit.filter { it.first <= nowMs && it.second == index }
        grantsInTransit.removeAll(arrived)
        arrived.forEach { limiters[index] = limiters[index].borrow(it.third, nowMs) }
        if (random.nextInt(100) == 0) requestLoan(index, nowMs)
        if (random.nextInt(3) > 0) consume(index, nowMs)
    }

    private fun requestLoan(index: Int, nowMs: Long) {
        val lender = 1 - index
        val request = LoanRequest(names[index], cap, CAP / 10, askedAtMs = nowMs)
        val result = limiters[lender].lend(request, names[lender], nowMs)
        limiters[lender] = result.limiter
        grantsInTransit += Triple(nowMs + random.nextLong(1, 6_000), index, result.grant)
    }

    private fun consume(index: Int, nowMs: Long) {
        val amount = limiters[index].getAvailableUnits(cap, nowMs).coerceAtMost(random.nextLong(1, CAP / 10))
        val next = if (amount > 0) limiters[index].consume(listOf(CapCost(cap, amount)), nowMs) else null
        if (next == null) return
        limiters[index] = next
        usedUnitsByMs[nowMs] = (usedUnitsByMs[nowMs] ?: 0) + amount
    }
}

private fun findMaxUseInWindow(usedUnitsByMs: Map<Long, Long>): Long =
    usedUnitsByMs.keys.maxOfOrNull { start ->
        usedUnitsByMs.filterKeys { it in start until start + WINDOW_MS }.values.sum()
    } ?: 0

class CapLimiterTest : FunSpec({
    test("`the shares of all zones add up to at most the cap less its reserve`") {
        val index = DocumentIndex(sampleDocument(linkBytesPerSecond = CAP, partnerRequestsPerSecond = 800))
        val total = ALL_ZONES.sumOf { computeZoneShares(index, it)[cap] ?: 0 }
        total shouldBeLessThanOrEqual CAP * 90 / 100
        val requests = ALL_ZONES.flatMap { computeZoneShares(index, it).entries }
            .filter { (it.key as? CapId.PartnerRequests)?.partner?.value == "one" }
            .sumOf { it.value }
        requests shouldBeLessThanOrEqual 720
    }

    test("`when one cost exceeds its cap no cost is consumed`") {
        val other = CapId.LinkBytes(SOUTH, NORTH)
        val limiter = CapLimiter(burstMs = 100).update(mapOf(cap to 10_000L, other to 100L), CAP_PARTS, 0)
        limiter.consume(listOf(CapCost(cap, 500), CapCost(other, 500)), 1_000) shouldBe null
        limiter.consume(listOf(CapCost(cap, 500), CapCost(other, 5)), 1_000)?.getAvailableUnits(cap, 1_000) shouldBe 500
    }

    test("`a borrower that was paused beyond the end of its loan no longer uses it`") {
        val lender = CapLimiter(burstMs = 100).update(mapOf(cap to 10_000L), CAP_PARTS / 2, 0)
        val request = LoanRequest(InstanceName("e2"), cap, 1_000, askedAtMs = 1_000)
        val grant = lender.lend(request, InstanceName("e1"), 1_000).grant
        grant.unitsPerSecond shouldBe 1_000
        val borrower = CapLimiter(burstMs = 100).update(mapOf(cap to 10_000L), CAP_PARTS / 2, 0).borrow(grant, 1_100)
        borrower.getRate(cap) shouldBe 6_000
        borrower.consume(emptyList(), 1_000 + LOAN_DURATION_MS)?.getRate(cap) shouldBe 5_000
    }

    test("`two instances that lend to each other never exceed the cap in any second`") {
        checkAll(PropTestConfig(seed = 41, iterations = 40), Arb.long()) { seed ->
            val share = CAP * 90 / 100
            val instances = LendingInstances(Random(seed), share)
            instances.run()
            findMaxUseInWindow(instances.usedUnitsByMs) shouldBeLessThanOrEqual CAP
        }
    }
})
