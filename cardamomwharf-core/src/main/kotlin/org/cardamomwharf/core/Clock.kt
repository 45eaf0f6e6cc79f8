/*
 * Time is passed in from outside. Processes use the monotonic clock for every lease, deadline and age; the wall clock
 * only appears in records that people read.
 */
package org.cardamomwharf.core

/** Represents a source of time in milliseconds. */
public fun interface Clock {
    /** Returns the milliseconds since an arbitrary fixed start; never goes back. */
    public fun nowMs(): Long
}

private const val NANOS_PER_MS = 1_000_000L

/** Returns the clock of this machine that never goes back. */
public fun monotonicClock(): Clock = Clock { System.nanoTime() / NANOS_PER_MS }
