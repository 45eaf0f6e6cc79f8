/*
 * Serializes access to the steering decisions with a lock. Decisions take microseconds, so waiting for the lock costs
 * less than a hand-over to a dedicated thread.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.Clock
import org.cardamomwharf.steering.Steering

/** Represents the steering of this process, shared between its threads. */
public class SynchronizedSteering(private val steering: Steering, private val clock: Clock) {
    /** Runs [block] with the steering and the current time while holding the lock. */
    public fun <T> withLock(block: (Steering, Long) -> T): T = synchronized(steering) { block(steering, clock.nowMs()) }
}
