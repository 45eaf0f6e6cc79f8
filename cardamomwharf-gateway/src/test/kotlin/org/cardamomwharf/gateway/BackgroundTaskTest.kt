/*
 * Tests that a background task continues after a failed step, and ends when a step returns false.
 */
package org.cardamomwharf.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.gateway.logs.DecisionLog
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

private const val TIMEOUT_S = 20L
private const val STEPS = 4

class BackgroundTaskTest : FunSpec({
    test("`a step that fails unexpectedly does not end its task`") {
        val steps = ArrayBlockingQueue<Int>(STEPS + 1)
        var number = 0
        startBackgroundTask("test", DecisionLog(monotonicClock())) {
            steps.add(number)
            check(number++ != 1) { "the second step fails" }
            number < STEPS
        }
        List(STEPS) { steps.poll(TIMEOUT_S, TimeUnit.SECONDS) } shouldBe (0 until STEPS).toList()
    }
})
