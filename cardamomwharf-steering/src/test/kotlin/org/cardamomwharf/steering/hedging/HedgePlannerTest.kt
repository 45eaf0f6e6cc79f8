/*
 * Tests which requests are hedged, when and where: answers that are late by chance get a second attempt, and overload,
 * requests that may run only once, and the limits on extra work get none.
 */
package org.cardamomwharf.steering.hedging

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.TransferKind
import org.cardamomwharf.steering.limits.RetryBudgetParameters
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.servers.LoadReport
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.support.BOOKINGS
import org.cardamomwharf.steering.support.HOME
import org.cardamomwharf.steering.support.PARAMETERS
import org.cardamomwharf.steering.support.READS
import org.cardamomwharf.steering.support.SERVICE
import org.cardamomwharf.steering.support.ZONES
import org.cardamomwharf.steering.support.add
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createSpec
import org.cardamomwharf.steering.support.createState
import org.cardamomwharf.steering.support.send

private const val USUAL_MS = 100L
private const val REQUESTS = 100
private const val MAX_SHARE = 0.05
private const val INTERVAL_MS = 10L
private val DOWNLOADS = READS.copy(name = "downloads", prefix = "/downloads/", transfer = TransferKind.DOWNLOAD)

private fun createHedging(
    vararg servers: ServerRecord = arrayOf(createServer("s1"), createServer("s2"), createServer("s3")),
    maxShare: Double = MAX_SHARE,
    retryBudget: RetryBudgetParameters = PARAMETERS.retryBudget,
): Steering {
    val parameters = PARAMETERS.copy(hedging = HedgingParameters(maxShare), retryBudget = retryBudget)
    val steering = Steering(InstanceLocation(InstanceName("i1"), HOME, ZONES), parameters)
    steering.routes.adopt(createState(1, READS, BOOKINGS, DOWNLOADS))
    steering.setLiveInstances(emptyMap(), 0)
    steering.add(*servers)
    return steering
}

/** Answers [REQUESTS] requests of [route], each after the usual time. */
private fun Steering.answerUsual(route: Route = READS) = repeat(REQUESTS) { number ->
    val nowMs = number * INTERVAL_MS
    val spec = createSpec(number, route, key = null, nowMs = nowMs)
    val sent = send(spec)
    completeAttempt(spec, listOf(sent), AttemptReport(AttemptOutcome.ANSWERED, false, USUAL_MS), nowMs)
}

private fun Steering.hedgeAt(nowMs: Long, route: Route = READS): Pair<Placement.Send, Placement.Send?> {
    val spec = createSpec(REQUESTS + 1, route, key = null, nowMs = nowMs)
    val first = send(spec)
    return first to hedges.place(spec, listOf(first), nowMs + USUAL_MS)
}

class HedgePlannerTest : FunSpec({
    val endMs = REQUESTS * INTERVAL_MS

    test("`a request counts as late beyond the usual response times of its route`") {
        val steering = createHedging()
        val spec = createSpec(REQUESTS, key = null, nowMs = endMs)
        val before = steering.send(spec)
        steering.hedges.delayMs(spec, before).shouldBeNull()
        steering.answerUsual()
        steering.hedges.delayMs(spec, before).shouldNotBeNull().shouldBeInRange(USUAL_MS..(USUAL_MS * 5 / 4))
    }

    test("`a late request is hedged at another server of the region`") {
        val steering = createHedging()
        steering.answerUsual()
        val (first, hedge) = steering.hedgeAt(endMs)
        hedge.shouldNotBeNull().server shouldNotBe first.server
    }

    test("`nothing is hedged unless the operators set a share`") {
        val steering = createHedging(maxShare = 0.0)
        steering.answerUsual()
        val spec = createSpec(REQUESTS, key = null, nowMs = endMs)
        steering.hedges.delayMs(spec, steering.send(spec)).shouldBeNull()
        steering.hedgeAt(endMs).second.shouldBeNull()
    }

    test("`requests that may run only once and large responses are never hedged`") {
        listOf(BOOKINGS, DOWNLOADS).forEach { route ->
            val steering = createHedging()
            steering.answerUsual(route)
            val spec = createSpec(REQUESTS, route, key = null, nowMs = endMs)
            steering.hedges.delayMs(spec, steering.send(spec)).shouldBeNull()
        }
        val steering = createHedging()
        steering.answerUsual(BOOKINGS)
        steering.hedgeAt(endMs, BOOKINGS).second.shouldBeNull()
    }

    test("`no hedge goes to another region`") {
        val steering = createHedging(createServer("s1"), createServer("far", ZoneName("b1")))
        steering.answerUsual()
        steering.hedgeAt(endMs).second.shouldBeNull()
    }

    // Pattern: all servers of the service are busy, so that every answer is late and hedges would add to the overload.
    test("`nothing is hedged while the service is near full`") {
        val steering = createHedging()
        steering.answerUsual()
        steering.servers.findByService(SERVICE).forEach {
            it.load.recordLoadReport(LoadReport(running = 3, waiting = 0, slots = 4), endMs)
        }
        steering.hedgeAt(endMs).second.shouldBeNull()
    }

    test("`hedges stay within the operators' share of all attempts`") {
        val steering = createHedging(*Array(20) { createServer("s$it", slots = 64) })
        steering.answerUsual()
        val hedges = (1..REQUESTS).count { number ->
            val spec = createSpec(REQUESTS + number, key = null, nowMs = endMs)
            val first = steering.send(spec)
            val hedge = steering.hedges.place(spec, listOf(first), endMs)
            listOfNotNull(first, hedge).forEach {
                steering.recordOutcome(spec, it, AttemptReport(AttemptOutcome.ANSWERED, false, USUAL_MS), endMs)
            }
            hedge != null
        }
        // The attempts are the answered requests before, the first attempts and the hedges themselves.
        hedges shouldBe (MAX_SHARE * (2 * REQUESTS + hedges)).toInt()
    }

    test("`a hedge takes from the retry budget, and without budget there is none`") {
        val steering = createHedging(retryBudget = RetryBudgetParameters(ratio = 0.0, allowance = 0, windowMs = 10_000))
        steering.answerUsual()
        steering.hedgeAt(endMs).second.shouldBeNull()
    }

    test("`a request with its maximum number of attempts isn't hedged`") {
        val steering = createHedging()
        steering.answerUsual()
        val spec = createSpec(REQUESTS, key = null, nowMs = endMs)
        val first = steering.send(spec)
        val second = steering.hedges.place(spec, listOf(first), endMs).shouldNotBeNull()
        steering.hedges.place(spec, listOf(first, second), endMs).shouldBeNull()
    }

    test("`a hedge that couldn't finish before the deadline isn't sent`") {
        val steering = createHedging()
        steering.answerUsual()
        val spec = createSpec(REQUESTS, key = null, nowMs = endMs)
        val first = steering.send(spec)
        steering.hedges.place(spec, listOf(first), spec.deadlineAtMs - 1).shouldBeNull()
    }

    // Pattern: every server has become slow. The usual response time follows, and hedges cease.
    test("`when all servers become slow, the delay follows`") {
        val steering = createHedging()
        steering.answerUsual()
        repeat(4 * REQUESTS) { number ->
            val spec = createSpec(number, key = null, nowMs = endMs)
            val sent = steering.send(spec)
            steering.recordOutcome(spec, sent, AttemptReport(AttemptOutcome.ANSWERED, false, 3 * USUAL_MS), endMs)
        }
        val spec = createSpec(REQUESTS, key = null, nowMs = endMs)
        steering.hedges.delayMs(spec, steering.send(spec)).shouldNotBeNull()
            .shouldBeInRange(3 * USUAL_MS..(3 * USUAL_MS * 5 / 4))
    }
})
