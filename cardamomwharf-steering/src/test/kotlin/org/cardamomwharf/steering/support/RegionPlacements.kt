/*
 * Records the regions in which requests run, and measures how fast they change.
 */
package org.cardamomwharf.steering.support

import kotlin.math.abs

/** Length of the two windows that are compared, the same as for the users' measurement of shifts. */
private const val WINDOW_MS = 2_000L

/** Step between window positions. */
private const val STEP_MS = 100L

/**
 * Represents the change of the regions in which requests [from] one region run, between two windows that meet at
 * [atMs].
 */
internal data class RegionShift(val from: String, val atMs: Long, val share: Double)

/** Records where requests run. */
internal class RegionPlacements {
    private data class Run(val atMs: Long, val from: String, val to: String)

    private val runs = ArrayList<Run>()

    /** Records that a request of the region [from] runs in the region [to]. */
    fun record(atMs: Long, from: String, to: String) {
        runs.add(Run(atMs, from, to))
    }

    /** Returns the largest change between two adjacent windows, the first of which begins at [fromMs] or later. */
    fun largestShift(fromMs: Long): RegionShift =
        runs.groupBy { it.from }.flatMap { (from, regionRuns) -> shifts(from, regionRuns, fromMs) }.maxBy { it.share }

    /** Returns the share of requests of region [from] that ran in other regions in the window that ends at [atMs]. */
    fun spilloverShare(from: String, atMs: Long): Double {
        val window = runs.filter { it.from == from && it.atMs in atMs - WINDOW_MS until atMs }
        return window.count { it.to != from }.toDouble() / window.size.coerceAtLeast(1)
    }

    private fun shifts(from: String, regionRuns: List<Run>, fromMs: Long): List<RegionShift> {
        val endMs = regionRuns.maxOf { it.atMs } - WINDOW_MS
        return (fromMs + WINDOW_MS..endMs step STEP_MS).map { atMs ->
            val before = sharesIn(regionRuns, atMs - WINDOW_MS)
            val after = sharesIn(regionRuns, atMs)
            val regions = before.keys + after.keys
            RegionShift(from, atMs, regions.sumOf { abs((after[it] ?: 0.0) - (before[it] ?: 0.0)) } / 2)
        }
    }

    private fun sharesIn(regionRuns: List<Run>, startMs: Long): Map<String, Double> {
        val window = regionRuns.filter { it.atMs in startMs until startMs + WINDOW_MS }
        return window.groupingBy { it.to }.eachCount().mapValues { it.value.toDouble() / window.size }
    }
}
