/*
 * Counts events of the recent past in equal slices of time.
 */
package org.cardamomwharf.steering.limits

private const val SLICES = 10

/** Represents the number of events in the last [windowMs]. */
public class SlidingCount(private val windowMs: Long) {
    private val sliceMs = (windowMs / SLICES).coerceAtLeast(1)
    private val counts = LongArray(SLICES + 1)
    private val sliceNumbers = LongArray(SLICES + 1) { -1 }

    /** Counts one event. */
    public fun add(nowMs: Long) {
        val number = nowMs / sliceMs
        val index = Math.floorMod(number, counts.size)
        if (sliceNumbers[index] != number) {
            sliceNumbers[index] = number
            counts[index] = 0
        }
        counts[index]++
    }

    /** Returns the events of the window that ends at [nowMs], rounded up by at most one slice. */
    public fun total(nowMs: Long): Long {
        val newest = nowMs / sliceMs
        val oldest = newest - SLICES
        return counts.indices.filter { sliceNumbers[it] in oldest..newest }.sumOf { counts[it] }
    }
}
