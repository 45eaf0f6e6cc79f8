/*
 * The attempts that were handed over and haven't ended, with where they went. An answer to any other attempt is late or
 * doubled, and nothing of it is kept.
 */
package org.cardamomwharf.entry.peers

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.SocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Represents one attempt at a peer. */
public data class HandedAttempt(public val request: RequestId, public val address: SocketAddress)

/** Represents the attempts that are open at peers. */
public class HandedAttempts {
    private val open = ConcurrentHashMap<AttemptId, HandedAttempt>()

    /** The number of open attempts. */
    public val size: Int get() = open.size

    /** Adds [attempt]. */
    public fun add(attempt: AttemptId, handed: HandedAttempt) {
        open[attempt] = handed
    }

    /** Returns where [attempt] went, or null when it has ended. */
    public fun find(attempt: AttemptId): HandedAttempt? = open[attempt]

    /** Ends [attempt] and returns where it went, or null when it had ended before. */
    public fun end(attempt: AttemptId): HandedAttempt? = open.remove(attempt)
}
