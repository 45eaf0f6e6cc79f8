/*
 * Counts events in a sliding window, divided into buckets of equal length.
 */
package org.cardamomwharf.steering.limits

private const val BUCKETS = 10

/** Counts the events of the last [windowMs]. */
public class SlidingWindowCounter(private val windowMs: Long) {
    private val bucketMs = (windowMs / BUCKETS).coerceAtLeast(1)
    private val counts = LongArray(BUCKETS + 1)
    private val bucketNumbers = LongArray(BUCKETS + 1) { -1 }

    /** Counts one event. */
    public fun increment(nowMs: Long) {
        val number = nowMs / bucketMs
        val index = Math.floorMod(number, counts.size)
        if (bucketNumbers[index] != number) {
            bucketNumbers[index] = number
            counts[index] = 0
        }
        counts[index]++
    }

    /**
     * Returns the number of events in the window that ends at [nowMs]; the window is rounded up by at most one bucket.
     */
    public fun total(nowMs: Long): Long {
        val newest = nowMs / bucketMs
        val oldest = newest - BUCKETS
        return counts.indices.filter { bucketNumbers[it] in oldest..newest }.sumOf { counts[it] }
    }
}
