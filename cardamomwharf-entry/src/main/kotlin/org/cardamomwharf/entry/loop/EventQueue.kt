/*
 * Bounded queue of events for the decision thread. New requests are refused once only the reserved capacity is left;
 * the reserve is for events that complete work already started.
 */
package org.cardamomwharf.entry.loop

import org.cardamomwharf.decision.EntryEvent
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

private const val CAPACITY = 16_384
private const val RESERVED_CAPACITY = 8_192

/** Queues events for the decision thread. */
public class EventQueue {
    private val queue = ArrayBlockingQueue<EntryEvent>(CAPACITY)

    /** The number of queued events. */
    public val size: Int get() = queue.size

    /** Adds a request; returns false if only the reserved capacity is left. */
    public fun offerRequest(event: EntryEvent.RequestArrived): Boolean =
        queue.remainingCapacity() > RESERVED_CAPACITY && queue.offer(event)

    /** Adds an event of any other kind; blocks while the queue is full. */
    public fun put(event: EntryEvent) {
        queue.put(event)
    }

    /** Returns the next event, or null if none arrives within [timeoutMs]. */
    public fun poll(timeoutMs: Long): EntryEvent? = queue.poll(timeoutMs, TimeUnit.MILLISECONDS)
}
