/*
 * The virtual clock and random source of a policy run. Running an action advances the clock to its scheduled time.
 */
package org.cardamomwharf.bench.policy

import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.math.ln

/** Runs scheduled actions in order of their virtual time. */
public class VirtualClock(seed: Long) {
    private val queue = PriorityQueue<ScheduledAction>(compareBy({ it.atUs }, { it.order }))
    private val random = SplittableRandom(seed)
    private var order = 0L

    /** The current virtual time in microseconds. */
    public var nowUs: Long = 0
        private set

    /** The current virtual time in milliseconds. */
    public val nowMs: Long get() = nowUs / US_PER_MS

    /** Schedules [action] to run after [delayMs]. */
    public fun schedule(delayMs: Double, action: () -> Unit) {
        queue += ScheduledAction(nowUs + (delayMs * US_PER_MS).toLong().coerceAtLeast(0), order++, action)
    }

    /** Runs all actions scheduled up to [untilMs]. */
    public fun run(untilMs: Long) {
        while (queue.isNotEmpty() && queue.peek().atUs <= untilMs * US_PER_MS) {
            val next = queue.poll()
            nowUs = next.atUs
            next.action()
        }
    }

    /** Returns an exponentially distributed duration with the mean [meanMs]. */
    public fun randomExponential(meanMs: Double): Double = -meanMs * ln(1.0 - random.nextDouble())

    /** Returns a random integer from 0 to [bound], exclusive. */
    public fun randomInt(bound: Int): Int = random.nextInt(bound)

    private class ScheduledAction(val atUs: Long, val order: Long, val action: () -> Unit)

    private companion object {
        const val US_PER_MS = 1_000L
    }
}
