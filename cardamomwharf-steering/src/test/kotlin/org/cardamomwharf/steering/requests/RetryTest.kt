/*
 * What may be tried again, and what a caller is told in the end.
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

    test("`a booking whose answer got lost is never sent again`") {
        val steering = twoServers()
        val spec = createSpec(1, BOOKINGS)
        val sent = steering.send(spec)
        val report = AttemptReport(AttemptOutcome.LOST, false, 50)
        steering.completeAttempt(spec, listOf(sent), report, 50) shouldBe NextStep.ReportUnknown
    }

    test("`a booking that a server refused goes to another server`") {
        val steering = twoServers()
        val spec = createSpec(1, BOOKINGS)
        val sent = steering.send(spec)
        val next = steering.completeAttempt(spec, listOf(sent), AttemptReport(AttemptOutcome.SHED, false, 5), 5)
        next.shouldBeInstanceOf<NextStep.Retry>().placement.server shouldNotBe sent.server
    }

    test("`a read that may have run is never refused as not run`") {
        val steering = twoServers()
        val spec = createSpec(1)
        val first = steering.send(spec)
        val next = steering.completeAttempt(spec, listOf(first), AttemptReport(AttemptOutcome.LOST, false, 5), 5)
        val second = next.shouldBeInstanceOf<NextStep.Retry>().placement
        val report = AttemptReport(AttemptOutcome.SHED, true, 5)
        steering.completeAttempt(spec, listOf(first, second), report, 10) shouldBe NextStep.ReportUnknown
    }

    test("`a request is sent to no more servers than its route allows`") {
        val steering = createSteering(createServer("s1"), createServer("s2"), createServer("s3"))
        val spec = createSpec(1)
        val first = steering.send(spec)
        val next = steering.completeAttempt(spec, listOf(first), AttemptReport(AttemptOutcome.SHED, false, 5), 5)
        val second = next.shouldBeInstanceOf<NextStep.Retry>().placement
        steering.completeAttempt(spec, listOf(first, second), AttemptReport(AttemptOutcome.SHED, false, 5), 10)
            .shouldBeInstanceOf<NextStep.Refuse>()
    }

    test("`without a configuration or servers a request is refused at once`") {
        val placement = createSteering().place(createSpec(1), 0)
        placement.shouldBeInstanceOf<Placement.Refuse>().reason shouldBe RefusalReason.NO_SERVER
    }
})
