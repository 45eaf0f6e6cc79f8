/*
 * The source of time that components receive as a parameter. Leases, deadlines and ages use the monotonic clock; the
 * wall clock appears only in records for people.
 */
package org.cardamomwharf.core

/** Represents a source of time in milliseconds. */
public fun interface Clock {
    /** Returns the milliseconds since an arbitrary fixed point in time; the value never decreases. */
    public fun nowMs(): Long
}

private const val NANOS_PER_MS = 1_000_000L

/** Returns the monotonic clock of this machine. */
public fun monotonicClock(): Clock = Clock { System.nanoTime() / NANOS_PER_MS }
