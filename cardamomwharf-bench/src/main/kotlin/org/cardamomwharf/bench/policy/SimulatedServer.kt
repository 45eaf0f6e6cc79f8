/*
 * Simulates a backend server in virtual time. It runs one request per slot, queues up to the same number and rejects
 * the rest. After a move its caches are cold, and the first requests take twice as long.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

private const val COLD_REQUESTS = 200
private const val COLD_FACTOR = 2.0

/** Represents the location and capacity of a server. */
public data class ServerConfig(
    public val name: String,
    public val service: ServiceName,
    public val zone: ZoneName,
    public val slots: Int,
    public val serviceMs: Double,
)

/** Simulates a backend server. */
public class SimulatedServer(
    public val config: ServerConfig,
    private val clock: VirtualClock,
    private val isCold: Boolean,
) {
    private val queue = ArrayDeque<(Boolean) -> Unit>()
    private var served = 0

    /** The number of running requests. */
    public var running: Int = 0
        private set

    /** Whether the server responds. */
    public var isUp: Boolean = true

    /** The number of running and queued requests. */
    public val load: Int get() = running + queue.size

    /** Whether the server accepts another request. */
    public val hasRoom: Boolean get() = isUp && load < 2 * config.slots

    /** Runs, queues or rejects a request; [onResult] receives whether it ran. */
    public fun submit(onResult: (Boolean) -> Unit) {
        when {
            !hasRoom -> onResult(false)
            running < config.slots -> run(onResult)
            else -> queue.addLast(onResult)
        }
    }

    private fun run(onResult: (Boolean) -> Unit) {
        running++
        served++
        val factor = if (isCold && served < COLD_REQUESTS) COLD_FACTOR else 1.0
        clock.schedule(clock.randomExponential(config.serviceMs * factor)) {
            running--
            onResult(isUp)
            queue.removeFirstOrNull()?.let(::run)
        }
    }
}
