/*
 * A backend server in virtual time: it runs as many requests as it has slots, lets as many again wait, and sheds the
 * rest. After a move its caches are cold and requests take twice as long for a while.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

private const val COLD_REQUESTS = 200
private const val COLD_FACTOR = 2.0

/** Represents where a server is and what it can do. */
public data class ServerPlace(
    public val name: String,
    public val service: ServiceName,
    public val zone: ZoneName,
    public val slots: Int,
    public val serviceMs: Double,
)

/** Represents a backend server; [onEnd] of a request is told whether it ran. */
public class FakeServer(
    public val place: ServerPlace,
    private val time: VirtualTime,
    private val isCold: Boolean,
) {
    private val waiting = ArrayDeque<(Boolean) -> Unit>()
    private var served = 0

    /** Requests that run now. */
    public var running: Int = 0
        private set

    /** Whether the server answers at all. */
    public var isUp: Boolean = true

    /** Requests that run or wait. */
    public val load: Int get() = running + waiting.size

    /** Whether the next request is taken. */
    public val hasRoom: Boolean get() = isUp && load < 2 * place.slots

    /** Takes a request, or sheds it. */
    public fun take(onEnd: (Boolean) -> Unit) {
        when {
            !hasRoom -> onEnd(false)
            running < place.slots -> run(onEnd)
            else -> waiting.addLast(onEnd)
        }
    }

    private fun run(onEnd: (Boolean) -> Unit) {
        running++
        served++
        val factor = if (isCold && served < COLD_REQUESTS) COLD_FACTOR else 1.0
        time.plan(time.exponential(place.serviceMs * factor)) {
            running--
            onEnd(isUp)
            waiting.removeFirstOrNull()?.let(::run)
        }
    }
}
