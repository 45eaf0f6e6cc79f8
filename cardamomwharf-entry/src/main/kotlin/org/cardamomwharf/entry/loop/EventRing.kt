/*
 * The bounded ring in front of the decision thread. Requests are refused while the last part of the ring is all that is
 * left; the ends of what was begun always find room there.
 */
package org.cardamomwharf.entry.loop

import org.cardamomwharf.decision.EntryEvent
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

private const val CAPACITY = 16_384
private const val RESERVED = 8_192

/** Represents the events that wait to be decided. */
public class EventRing {
    private val queue = ArrayBlockingQueue<EntryEvent>(CAPACITY)

    /** The number of events that wait. */
    public val size: Int get() = queue.size

    /** Adds a request; returns false when the ring is too full to take one. */
    public fun offerRequest(event: EntryEvent.RequestArrived): Boolean =
        queue.remainingCapacity() > RESERVED && queue.offer(event)

    /** Adds anything else, and waits for room if there is none. */
    public fun put(event: EntryEvent) {
        queue.put(event)
    }

    /** Returns the next event, or null after [waitMs]. */
    public fun poll(waitMs: Long): EntryEvent? = queue.poll(waitMs, TimeUnit.MILLISECONDS)
}
