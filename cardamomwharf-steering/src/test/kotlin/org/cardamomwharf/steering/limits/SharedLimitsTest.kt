/*
 * Limits that all instances keep together without asking each other.
 */
package org.cardamomwharf.steering.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName

class SharedLimitsTest : FunSpec({
    val instances = (1..12).map { InstanceName("i$it") }

    test("`repeats of all instances stay within the ratio and the allowance`") {
        val budgets = instances.map { RetryBudget(RetryTerms(ratio = 0.2, allowance = 60, windowMs = 10_000)) }
        var requests = 0
        var repeats = 0
        for (nowMs in 0L until 10_000L step 10) {
            budgets.forEach {
                it.noteRequest(nowMs)
                requests++
                if (it.take(nowMs, instances.size)) repeats++
            }
        }
        repeats shouldBeLessThanOrEqual (0.2 * requests + 60).toInt()
    }

    test("`the parts of a cold server's rate add up to no more than the rate`") {
        val sum = instances.sumOf { coldPartPerSecond(it, ServerName("s1"), instances, 9.0) }
        sum shouldBeLessThanOrEqual 9.0 + 1e-9
    }

    test("`instances that miss one of their number still stay below twice the rate together`") {
        val sum = instances.withIndex().sumOf { (index, self) ->
            val view = (instances - InstanceName("i${index % 3 + 1}") + self).distinct()
            coldPartPerSecond(self, ServerName("s1"), view, 9.0)
        }
        sum shouldBeLessThanOrEqual 18.0
    }

    test("`a cold server gets no second request before its turn`") {
        val allowance = ColdAllowance()
        allowance.isOpen(0, 2.0) shouldBe true
        allowance.noteSent(0, 2.0)
        allowance.isOpen(499, 2.0) shouldBe false
        allowance.isOpen(500, 2.0) shouldBe true
    }
})
