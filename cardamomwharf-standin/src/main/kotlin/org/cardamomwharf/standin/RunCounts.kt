/*
 * Counts the requests that a server stand-in runs.
 */
package org.cardamomwharf.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts the open requests, the runs and the runs of each idempotency key. */
public class RunCounts {
    private val open = AtomicInteger()
    private val maxOpen = AtomicInteger()
    private val total = AtomicInteger()
    private val keys = ConcurrentHashMap<String, AtomicInteger>()

    /** The number of open requests. */
    public val inFlight: Int get() = open.get()

    internal fun startRequest(): Int {
        val openNow = open.incrementAndGet()
        maxOpen.accumulateAndGet(openNow, ::maxOf)
        return openNow
    }

    internal fun endRequest() {
        open.decrementAndGet()
    }

    internal fun recordRun(key: String?) {
        total.incrementAndGet()
        if (key != null) keys.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()
    }

    /** Returns the number of runs for each idempotency key. */
    public fun countRunsByKey(): Map<String, Int> = keys.mapValues { it.value.get() }

    /** Returns the number of runs. */
    public fun countTotal(): Int = total.get()

    internal fun totalJson(): String = """{"total":$total,"largestInFlight":$maxOpen}"""
}
