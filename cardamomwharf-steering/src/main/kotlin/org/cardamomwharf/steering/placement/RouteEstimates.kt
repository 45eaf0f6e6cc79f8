/*
 * Processing time estimates of all routes, and their updates from completed attempts.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer

internal class RouteEstimates(private val parameters: SteeringParameters, private val roundTripTimes: RoundTripTimes) {
    private val byRoute = HashMap<String, ProcessingTimeEstimate>()

    fun getForRoute(route: Route): ProcessingTimeEstimate =
        byRoute.getOrPut(route.name) { ProcessingTimeEstimate(route, parameters) }

    /** Updates the estimates and the state of [server] with the outcome of an attempt of [spec]. */
    fun recordOutcome(
        spec: RequestSpec,
        send: Placement.Send,
        report: AttemptReport,
        server: KnownServer,
        nowMs: Long,
    ) {
        server.load.recordRequestEnded()
        when (report.outcome) {
            AttemptOutcome.ANSWERED -> recordResponse(spec, send, server, report.tookMs, nowMs)
            AttemptOutcome.FAILED, AttemptOutcome.SHED -> {
                server.load.recordResponse(nowMs)
                server.health.recordResponse(isSuccess = false, nowMs)
            }
            AttemptOutcome.MISDIRECTED, AttemptOutcome.NOT_SENT, AttemptOutcome.LOST ->
                server.health.recordFailure(nowMs)
            AttemptOutcome.TIMED_OUT -> recordTimeout(send, server, report.tookMs, nowMs)
            AttemptOutcome.CALLER_GONE, AttemptOutcome.CONNECTION_CLOSED, AttemptOutcome.UNWRITABLE,
            AttemptOutcome.SUPERSEDED -> Unit
        }
    }

    private fun recordResponse(
        spec: RequestSpec,
        send: Placement.Send,
        server: KnownServer,
        tookMs: Long,
        nowMs: Long,
    ) {
        server.load.recordResponse(nowMs)
        server.health.recordResponse(isSuccess = true, nowMs)
        val estimate = getForRoute(spec.route)
        val slowness = server.health.slowness(nowMs)
        val processingMs = (tookMs - roundTripTimes.estimateMs(server)).coerceAtLeast(1.0)
        val slowdown = server.load.slowdownSince(nowMs - tookMs)
        if (slowdown > 1.0) {
            val expectedMs = if (send.load < server.slots) estimate.coldMs else send.predictedMs
            recordSlowed(server, processingMs / slowdown / expectedMs, nowMs)
        } else if (send.load < server.slots) {
            val expectedMs = if (estimate.isWarm(processingMs / slowness)) estimate.warmMs else estimate.coldMs
            server.health.recordSlowness(processingMs / expectedMs, nowMs)
            if (!server.isCold(nowMs)) estimate.record(send.warmth, processingMs / slowness)
        } else if (tookMs > send.predictedMs) {
            server.health.recordSlowness(slowness * tookMs / send.predictedMs, nowMs)
        }
        spec.affinityKey?.let { server.warmKeys.add(it) }
    }

    /**
     * Records a response that took [factor] times the expected time after what other work on the server's machine may
     * explain. How much it does explain isn't known, so nothing else is learned from the response.
     */
    private fun recordSlowed(server: KnownServer, factor: Double, nowMs: Long) {
        if (factor > server.health.slowness(nowMs)) server.health.recordSlowness(factor, nowMs)
    }

    private fun recordTimeout(send: Placement.Send, server: KnownServer, tookMs: Long, nowMs: Long) {
        server.health.recordTimeout(nowMs)
        val factor = maxOf(parameters.minTimeoutSlowness, tookMs / send.predictedMs)
        server.health.recordSlowness(server.health.slowness(nowMs) * factor, nowMs)
    }
}
