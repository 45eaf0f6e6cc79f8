/*
 * Counts what a stand-in for a backend server ran.
 */
package org.cardamomwharf.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Represents what one backend server ran. */
public class RunCounts {
    private val open = AtomicInteger()
    private val largestOpen = AtomicInteger()
    private val total = AtomicInteger()
    private val keys = ConcurrentHashMap<String, AtomicInteger>()

    /** The requests that are open now. */
    public val inFlight: Int get() = open.get()

    internal fun enter(): Int {
        val taken = open.incrementAndGet()
        largestOpen.accumulateAndGet(taken, ::maxOf)
        return taken
    }

    internal fun leave() {
        open.decrementAndGet()
    }

    internal fun note(key: String?) {
        total.incrementAndGet()
        if (key != null) keys.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()
    }

    /** Returns how often each idempotency key ran. */
    public fun countKeys(): Map<String, Int> = keys.mapValues { it.value.get() }

    /** Returns how many requests ran. */
    public fun countTotal(): Int = total.get()

    internal fun totalJson(): String = """{"total":$total,"largestInFlight":$largestOpen}"""
}
