/*
 * Counts what a stand-in for a backend server ran.
 */
package org.cardamomwharf.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

internal class RunCounts {
    private val open = AtomicInteger()
    private val largestOpen = AtomicInteger()
    private val total = AtomicInteger()
    private val keys = ConcurrentHashMap<String, AtomicInteger>()

    /** Requests that are open now. */
    val inFlight: Int get() = open.get()

    fun enter(): Int {
        val taken = open.incrementAndGet()
        largestOpen.accumulateAndGet(taken, ::maxOf)
        return taken
    }

    fun leave() {
        open.decrementAndGet()
    }

    fun note(key: String?) {
        total.incrementAndGet()
        if (key != null) keys.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()
    }

    fun countKeys(): Map<String, Int> = keys.mapValues { it.value.get() }

    fun countTotal(): Int = total.get()

    fun totalJson(): String = """{"total":$total,"largestInFlight":$largestOpen}"""
}
