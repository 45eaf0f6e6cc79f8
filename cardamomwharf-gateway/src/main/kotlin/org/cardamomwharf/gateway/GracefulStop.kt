/*
 * Stops a process without interrupting requests: it notifies callers and other instances, accepts new requests for a
 * while from callers that haven't noticed yet, then waits for the requests in flight. A request that may not end before
 * the process isn't sent to a backend server.
 */
package org.cardamomwharf.gateway

import kotlinx.serialization.json.add
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.cardamomwharf.forward.listener.AsyncHttpServer
import org.cardamomwharf.forward.proxy.ForwardingContext
import org.cardamomwharf.steering.requests.StopPlan

/** Fraction of the stop timeout during which new requests are accepted; callers cache addresses for some seconds. */
private const val ACCEPT_FRACTION = 0.5

/** Fraction of the stop timeout by which requests end; none is sent that may take longer. */
private const val DEADLINE_FRACTION = 0.9

/** Fraction of the stop timeout after which the process exits; a request is answered some time after its deadline. */
private const val EXIT_FRACTION = 0.95

/** Interval between checks for open connections. */
private const val POLL_INTERVAL_MS = 20L

/** Maximum number of log lines about requests that the end of the process interrupts. */
private const val MAX_INTERRUPTED_LINES = 50

internal class GracefulStop(
    private val context: TaskContext,
    private val forwarding: ForwardingContext,
    private val server: AsyncHttpServer,
    private val stopMs: Long,
    private val acceptMs: Long = (stopMs * ACCEPT_FRACTION).toLong(),
) {
    /** Steps whose failure was logged; each may be repeated many times. */
    private val failedSteps = mutableSetOf<String>()

    /**
     * Stops accepting requests at [listener]; returns when its last connection is closed or the stop timeout has almost
     * expired. Waits for connections, not requests: a request may be arriving on a connection, and the last response
     * may not have been sent yet. The stop timeout counts from [startedAtMs].
     */
    fun run(listener: String, startedAtMs: Long, notifyPeers: () -> Unit) {
        val plan = StopPlan(startedAtMs + acceptMs, startedAtMs + fractionMs(DEADLINE_FRACTION))
        attempt("log") { context.log.event("stop") { put("underWay", forwarding.requestsInFlight) } }
        attempt("begin") { forwarding.beginStop(plan) }
        attempt("notify") { notifyPeers() }
        waitUntil(plan.acceptUntilMs) { false }
        val idleClosed = closeConnections(listener, startedAtMs + fractionMs(EXIT_FRACTION))
        attempt("log") { logInterrupted() }
        attempt("log") {
            context.log.event("stopped") {
                put("underWay", forwarding.requestsInFlight)
                put("connections", server.countConnections(listener))
                put("idleClosed", idleClosed)
                put("tookMs", context.clock.nowMs() - startedAtMs)
            }
        }
    }

    /** Closes [listener] and waits until its connections are closed; returns the number of those that were idle. */
    private fun closeConnections(listener: String, deadlineMs: Long): Int {
        var isClosed = false
        var idleClosed = 0
        waitUntil(deadlineMs) {
            isClosed = isClosed || attempt("close") { server.closeListener(listener) } != null
            idleClosed += attempt("close-idle") { server.closeIdleConnections(listener) } ?: 0
            isClosed && attempt("count") { server.countConnections(listener) } == 0
        }
        return idleClosed
    }

    /** Returns the result of [step], or null if it failed: the end of the stop would cut off the requests under way. */
    @Suppress("TooGenericExceptionCaught", "SwallowedException") // The stop has to go on whatever a step throws.
    private fun <T : Any> attempt(name: String, step: () -> T): T? = try {
        step()
    } catch (e: Throwable) {
        try {
            if (failedSteps.add(name)) logFailure("stop-$name", context.log, e)
        } catch (unlogged: Throwable) {
            // There is no other way to report it.
        }
        null
    }

    private fun fractionMs(fraction: Double): Long = (stopMs * fraction).toLong()

    private fun logInterrupted() {
        forwarding.findRequestsInFlight().take(MAX_INTERRUPTED_LINES).forEach { request ->
            context.log.event("request-interrupted") {
                put("id", request.requestId)
                put("service", request.service.value)
                put("tookMs", request.tookMs)
                put("leftMs", request.remainingMs)
                putJsonArray("servers") { request.servers.forEach { add(it.value) } }
            }
        }
    }

    private fun waitUntil(deadlineMs: Long, isDone: () -> Boolean) {
        while (!isDone() && context.clock.nowMs() < deadlineMs) Thread.sleep(POLL_INTERVAL_MS)
    }
}
