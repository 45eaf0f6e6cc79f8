/*
 * Tests which attempts are retried, and the final response to the caller.
 */
package org.cardamomwharf.steering.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.steering.support.BOOKINGS
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createSpec
import org.cardamomwharf.steering.support.createSteering
import org.cardamomwharf.steering.support.send

class RetryTest : FunSpec({
    fun twoServers() = createSteering(createServer("s1"), createServer("s2"))

    test("`a booking whose response was lost is never retried`") {
        val steering = twoServers()
        val spec = createSpec(1, BOOKINGS)
        val sent = steering.send(spec)
        val report = AttemptReport(AttemptOutcome.LOST, false, 50)
        steering.completeAttempt(spec, listOf(sent), report, 50) shouldBe NextStep.ReportUnknown
    }

    test("`a booking refused by a server is retried on another server`") {
        val steering = twoServers()
        val spec = createSpec(1, BOOKINGS)
        val sent = steering.send(spec)
        val next = steering.completeAttempt(spec, listOf(sent), AttemptReport(AttemptOutcome.SHED, false, 5), 5)
        next.shouldBeInstanceOf<NextStep.Retry>().placement.server shouldNotBe sent.server
    }

    test("`a read that may have been executed is never refused as not executed`") {
        val steering = twoServers()
        val spec = createSpec(1)
        val first = steering.send(spec)
        val next = steering.completeAttempt(spec, listOf(first), AttemptReport(AttemptOutcome.LOST, false, 5), 5)
        val second = next.shouldBeInstanceOf<NextStep.Retry>().placement
        val report = AttemptReport(AttemptOutcome.SHED, true, 5)
        steering.completeAttempt(spec, listOf(first, second), report, 10) shouldBe NextStep.ReportUnknown
    }

    test("`a request is sent to at most the number of servers allowed by its route`") {
        val steering = createSteering(createServer("s1"), createServer("s2"), createServer("s3"))
        val spec = createSpec(1)
        val first = steering.send(spec)
        val next = steering.completeAttempt(spec, listOf(first), AttemptReport(AttemptOutcome.SHED, false, 5), 5)
        val second = next.shouldBeInstanceOf<NextStep.Retry>().placement
        steering.completeAttempt(spec, listOf(first, second), AttemptReport(AttemptOutcome.SHED, false, 5), 10)
            .shouldBeInstanceOf<NextStep.Refuse>()
    }

    test("`a request is refused immediately without servers`") {
        val placement = createSteering().place(createSpec(1), 0)
        placement.shouldBeInstanceOf<Placement.Refuse>().reason shouldBe RefusalReason.NO_SERVER
    }
})
