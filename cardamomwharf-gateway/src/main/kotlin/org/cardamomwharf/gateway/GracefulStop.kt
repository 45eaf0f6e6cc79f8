/*
 * Ends a process so that no request is cut off: callers and other instances are told, requests are taken for a while
 * from callers that don't know yet, then what is under way is finished.
 */
package org.cardamomwharf.gateway

import kotlinx.serialization.json.put
import org.cardamomwharf.forward.listener.AsyncHttpServer
import org.cardamomwharf.forward.proxy.ForwardingContext

/** Part of the time to stop for which new requests are still taken; callers keep addresses for some seconds. */
private const val ACCEPT_FRACTION = 0.5

/** Part of the time to stop after which the process ends whatever is open. */
private const val DEADLINE_FRACTION = 0.9

/** Pause between looks at what is still open. */
private const val LOOK_MS = 20L

internal class GracefulStop(
    private val watch: TaskContext,
    private val tools: ForwardingContext,
    private val front: AsyncHttpServer,
    private val stopMs: Long,
    private val acceptMs: Long = (stopMs * ACCEPT_FRACTION).toLong(),
) {
    /**
     * Stops taking requests at [listener]; returns when its last connection is closed or the time to stop is nearly
     * over. Counting requests isn't enough: one may just be arriving on a connection, and the last answer may not
     * have left.
     */
    fun run(listener: String, tellOthers: () -> Unit) {
        val startedAtMs = watch.clock.nowMs()
        watch.log.event("stop") { put("underWay", tools.requestsInFlight) }
        tools.isStopping = true
        tellOthers()
        waitUntil(startedAtMs + acceptMs) { false }
        front.closeListener(listener)
        waitUntil(startedAtMs + (stopMs * DEADLINE_FRACTION).toLong()) {
            front.closeIdleConnections(listener)
            front.countConnections(listener) == 0
        }
        watch.log.event("stopped") {
            put("underWay", tools.requestsInFlight)
            put("tookMs", watch.clock.nowMs() - startedAtMs)
        }
    }

    private fun waitUntil(endMs: Long, isDone: () -> Boolean) {
        while (!isDone() && watch.clock.nowMs() < endMs) Thread.sleep(LOOK_MS)
    }
}
