/*
 * Time and randomness of a policy run. Nothing waits: the next planned act is taken and the time set to its time.
 */
package org.cardamomwharf.bench.policy

import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.math.ln

/** Represents the agenda of a run in microseconds of virtual time. */
public class VirtualTime(seed: Long) {
    private val agenda = PriorityQueue<Planned>(compareBy({ it.atUs }, { it.order }))
    private val random = SplittableRandom(seed)
    private var order = 0L

    /** The time now. */
    public var nowUs: Long = 0
        private set

    /** The time now in milliseconds. */
    public val nowMs: Long get() = nowUs / US_PER_MS

    /** Plans [act] in [inMs] milliseconds. */
    public fun plan(inMs: Double, act: () -> Unit) {
        agenda += Planned(nowUs + (inMs * US_PER_MS).toLong().coerceAtLeast(0), order++, act)
    }

    /** Does everything planned until [untilMs]. */
    public fun run(untilMs: Long) {
        while (agenda.isNotEmpty() && agenda.peek().atUs <= untilMs * US_PER_MS) {
            val planned = agenda.poll()
            nowUs = planned.atUs
            planned.act()
        }
    }

    /** Returns a time that is exponentially distributed around [meanMs]. */
    public fun exponential(meanMs: Double): Double = -meanMs * ln(1.0 - random.nextDouble())

    /** Returns a number below [bound]. */
    public fun below(bound: Int): Int = random.nextInt(bound)

    private class Planned(val atUs: Long, val order: Long, val act: () -> Unit)

    private companion object {
        const val US_PER_MS = 1_000L
    }
}
