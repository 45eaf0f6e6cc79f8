/*
 * Tests that a request that crashes the servers that run it isn't sent to server after server, summed over all
 * instances, and that other requests are served. In virtual time, without a network.
 */
package org.cardamomwharf.steering.crashes

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.steering.support.Arrivals
import org.cardamomwharf.steering.support.CrashFleet

private const val DEADLY = "/deadly"
private const val START_MS = 4_000L
private const val MS_PER_S = 1_000L

/** Crashes after which the users count sends, and the number of sends that they tolerate after the stable window. */
private const val COUNTED_CRASHES = 3
private const val TOLERATED_SENDS = 3

/** The shortest stable window of the users; instances that restarted or were cut off within it aren't counted. */
private const val STABLE_WINDOW_MS = 3_000L

private fun deadly(perSecond: Double) = Arrivals(perSecond) { DEADLY }

/** Innocent requests, each with a path of its own. */
private fun unique(perSecond: Double): Arrivals {
    var number = 0
    return Arrivals(perSecond) { "/unique/${number++}" }
}

/** Innocent requests for a few paths, which many callers send. */
private fun popular(perSecond: Double) = Arrivals(perSecond) { "/popular/${it.nextInt(8)}" }

private fun createFleet(count: Int, seed: Int, deadlyPerSecond: Double = 8.0) = CrashFleet(
    count,
    seed,
    listOf(deadly(deadlyPerSecond), unique(200.0), popular(60.0)),
) { path, nowMs -> path == DEADLY && nowMs >= START_MS }

/** Returns the sends that the users count, except those of the instances that [isExcused] at the time. */
private fun CrashFleet.countedSends(path: String = DEADLY, isExcused: (Int, Long) -> Boolean = { _, _ -> false }): Int {
    val thirdMs = crashes[path].orEmpty().sorted().getOrNull(COUNTED_CRASHES - 1) ?: return 0
    return sent.count { it.path == path && it.atMs > thirdMs + STABLE_WINDOW_MS && !isExcused(it.instance, it.atMs) }
}

class CrashingRequestsTest : FunSpec({
    for (count in listOf(12, 66, 112)) {
        // Guards against a request that crashes server after server because each instance knows only its own crashes.
        test("`with $count instances a request that crashes servers is soon sent no more`") {
            for (seed in 1..3) {
                val fleet = createFleet(count, seed)
                fleet.run(40 * MS_PER_S)
                fleet.countedSends() shouldBeLessThanOrEqualTo TOLERATED_SENDS
                fleet.crashes.getValue(DEADLY).size shouldBeLessThanOrEqualTo 12
            }
        }

        test("`with $count instances a request that comes every two seconds is soon sent no more`") {
            val fleet = createFleet(count, seed = 4, deadlyPerSecond = 0.5)
            fleet.run(80 * MS_PER_S)
            fleet.countedSends() shouldBeLessThanOrEqualTo TOLERATED_SENDS
        }

        test("`with $count instances of which a third restarts twice, a crashing request is soon sent no more`") {
            val fleet = createFleet(count, seed = 5)
            val restarted = 0 until count / 3
            val restartsAtMs = listOf(4_300L, 15_000L)
            for (atMs in restartsAtMs) {
                fleet.run(atMs)
                fleet.restart(restarted)
            }
            fleet.run(40 * MS_PER_S)
            fleet.countedSends { instance, atMs ->
                instance in restarted && restartsAtMs.any { atMs - it in 0..STABLE_WINDOW_MS }
            } shouldBeLessThanOrEqualTo TOLERATED_SENDS
        }

        test("`with $count instances of which a third is cut off twice, a crashing request is soon sent no more`") {
            val fleet = createFleet(count, seed = 6)
            val cutOff = 0 until count / 3
            val cuts = listOf(4_100L..9_000L, 20_000L..24_000L)
            for (cut in cuts) {
                fleet.run(cut.first)
                fleet.cut(cutOff, true)
                fleet.run(cut.last)
                fleet.cut(cutOff, false)
            }
            fleet.run(40 * MS_PER_S)
            fleet.countedSends { instance, atMs ->
                instance in cutOff && cuts.any { atMs in it.first..it.last + STABLE_WINDOW_MS }
            } shouldBeLessThanOrEqualTo TOLERATED_SENDS
        }

        test("`with $count instances innocent requests are served while a request crashes servers`") {
            val fleet = createFleet(count, seed = 7)
            fleet.run(40 * MS_PER_S)
            val isInnocent = { path: String -> path != DEADLY }
            val blocked = fleet.countOutcomes("crashes-servers", isInnocent)
            val lost = fleet.countOutcomes("lost", isInnocent)
            val answered = fleet.countOutcomes("answered", isInnocent)
            blocked shouldBe 0
            lost shouldBeLessThan answered / 100
            fleet.countOutcomes("crashes-servers") { it == DEADLY } shouldBeGreaterThan 200
        }
    }

    test("`several crashing requests at once are each sent no more`") {
        val fleet = CrashFleet(12, 8, listOf(unique(200.0), Arrivals(10.0) { "/deadly/${it.nextInt(4)}" })) { path, _ ->
            path.startsWith(DEADLY)
        }
        fleet.run(60 * MS_PER_S)
        (0..3).forEach { fleet.countedSends("/deadly/$it") shouldBeLessThanOrEqualTo TOLERATED_SENDS }
    }

    // Guards against innocent requests that stay blocked because they were on crashing servers three times.
    test("`a request that no longer crashes servers is tried after the block and then served everywhere`") {
        val fleet = CrashFleet(12, 9, listOf(deadly(8.0), unique(50.0))) { path, nowMs ->
            path == DEADLY && nowMs < 10 * MS_PER_S
        }
        fleet.run(30 * MS_PER_S)
        fleet.instancesSending(DEADLY) shouldHaveSize 0
        fleet.run(120 * MS_PER_S)
        fleet.instancesSending(DEADLY) shouldHaveSize 12
    }

    test("`a request that still crashes servers after the block is tried once and blocked for longer`") {
        val fleet = createFleet(12, seed = 10)
        fleet.run(150 * MS_PER_S)
        fleet.countedSends() shouldBeLessThanOrEqualTo TOLERATED_SENDS
        fleet.instancesSending(DEADLY) shouldHaveSize 0
    }

    test("`the number of requests that an instance keeps is bounded`") {
        val requests = CrashingRequests(InstanceName("i"))
        repeat(20_000) { number ->
            repeat(3) { requests.recordCrash(number.toLong(), ServerName("s$it"), 1, number.toLong()) }
            requests.recordCrash(-number.toLong(), ServerName("s"), 1, number.toLong())
            requests.outbox.takeMessages()
            requests.outbox.takeChanges()
        }
        requests.trackedCount shouldBeLessThanOrEqualTo 4_096 * 2 + 1_024
    }

    test("`heartbeats carry few blocked requests, and lifted ones only for a while`") {
        val requests = CrashingRequests(InstanceName("i"))
        repeat(20) { number -> repeat(3) { requests.recordCrash(number.toLong(), ServerName("s$it"), 1, 0) } }
        requests.regularMessage(0)?.blocks.orEmpty() shouldHaveSize 8
        repeat(20) { requests.recordAnswer(it.toLong(), 1_000) }
        requests.regularMessage(2_000)?.blocks.orEmpty().all { it.isLifted } shouldBe true
        requests.regularMessage(7_000) shouldBe null
    }

    test("`reports about one crash count once, and an answer clears them`") {
        val requests = CrashingRequests(InstanceName("i"))
        repeat(5) { requests.recordCrash(7, ServerName("s"), 1, 0) }
        requests.isBlocked(7) shouldBe false
        requests.recordCrash(7, ServerName("t"), 1, 0)
        requests.recordAnswer(7, 0)
        repeat(2) { requests.recordCrash(7, ServerName("u$it"), 1, 0) }
        requests.isBlocked(7) shouldBe false
        requests.recordCrash(7, ServerName("u0"), 2, 0)
        requests.isBlocked(7) shouldBe true
    }
})
