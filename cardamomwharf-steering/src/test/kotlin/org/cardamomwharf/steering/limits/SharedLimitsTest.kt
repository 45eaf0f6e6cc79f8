/*
 * Limits that all instances keep together without asking each other.
 */
package org.cardamomwharf.steering.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.support.HOME
import org.cardamomwharf.steering.support.READS
import org.cardamomwharf.steering.support.TERMS
import org.cardamomwharf.steering.support.ZONES
import org.cardamomwharf.steering.support.add
import org.cardamomwharf.steering.support.serverOf
import org.cardamomwharf.steering.support.specOf
import org.cardamomwharf.steering.support.stateOf
import org.cardamomwharf.steering.support.steeringOf

class SharedLimitsTest : FunSpec({
    val instances = (1..12).map { InstanceName("i$it") }

    test("`repeats of all instances stay within the ratio and the allowance`") {
        val parameters = RetryBudgetParameters(ratio = 0.2, allowance = 60, windowMs = 10_000)
        val budgets = instances.map { RetryBudget(parameters) }
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

    test("`instances that all start at once and don't know each other leave cold servers and repeats alone`") {
        val steering = Steering(InstanceLocation(InstanceName("i1"), HOME, ZONES), TERMS)
        steering.routes.adopt(stateOf(1, READS))
        steering.add(serverOf("s1").copy(coldRemainingMs = 3_000))
        steering.place(specOf(1), 0).shouldBeInstanceOf<Placement.Refuse>().reason shouldBe RefusalReason.COLD
        steering.setLiveInstances(emptyMap())
        steering.place(specOf(2, nowMs = 10), 10).shouldBeInstanceOf<Placement.Send>()
        RetryBudget(TERMS.retryBudget).take(0, instances = 0) shouldBe false
    }

    test("`a cold server is left to instances of its region, and to others only while the region has none`") {
        val steering = steeringOf()
        steering.add(serverOf("far", ZoneName("b1")).copy(coldRemainingMs = 3_000))
        steering.setLiveInstances(mapOf(InstanceName("i2") to ZoneName("b2")))
        steering.place(specOf(1), 0).shouldBeInstanceOf<Placement.Refuse>().reason shouldBe RefusalReason.COLD
        steering.setLiveInstances(mapOf(InstanceName("i3") to ZoneName("a2")))
        (1..20).any { steering.place(specOf(it, nowMs = it * 100L), it * 100L) is Placement.Send } shouldBe true
    }

    test("`a cold server gets no second request before its turn`") {
        val allowance = ColdAllowance()
        allowance.isOpen(0, 2.0) shouldBe true
        allowance.noteSent(0, 2.0)
        allowance.isOpen(499, 2.0) shouldBe false
        allowance.isOpen(500, 2.0) shouldBe true
    }
})
