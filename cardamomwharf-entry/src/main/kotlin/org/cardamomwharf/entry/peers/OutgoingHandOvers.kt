/*
 * Attempts that were handed over to peers and are still open. A reply for any other attempt is late or a duplicate, and
 * its response is not stored.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.SocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Represents an attempt that was handed over to the peer at [address]. */
public data class OutgoingHandOver(public val request: RequestId, public val address: SocketAddress)

/** Holds the open attempts at peers. */
public class OutgoingHandOvers {
    private val open = ConcurrentHashMap<AttemptId, OutgoingHandOver>()

    /** The number of open attempts. */
    public val size: Int get() = open.size

    public fun add(attempt: AttemptId, handOver: OutgoingHandOver) {
        open[attempt] = handOver
    }

    /** Returns the hand-over of [attempt], or null if it is no longer open. */
    public fun find(attempt: AttemptId): OutgoingHandOver? = open[attempt]

    /** Removes [attempt] and returns its hand-over, or null if it was no longer open. */
    public fun remove(attempt: AttemptId): OutgoingHandOver? = open.remove(attempt)
}
