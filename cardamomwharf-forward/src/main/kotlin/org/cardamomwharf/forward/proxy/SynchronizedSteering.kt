/*
 * Lets one thread at a time into the decisions. They take microseconds, so threads wait for each other less than a
 * hand-over to a thread of their own would take.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.Clock
import org.cardamomwharf.steering.Steering

/** Represents the decisions of this process, shared between its threads. */
public class SynchronizedSteering(private val steering: Steering, private val clock: Clock) {
    /** Runs [block] with the decisions and the time, alone. */
    public fun <T> withLock(block: (Steering, Long) -> T): T = synchronized(steering) { block(steering, clock.nowMs()) }
}
