/*
 * The learnt times of all routes, and what is learnt from each request that ended.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer

internal class EstimateBook(private val terms: SteeringParameters, private val roundTripTimes: RoundTripTimes) {
    private val byRoute = HashMap<String, WorkEstimates>()

    fun of(route: Route): WorkEstimates = byRoute.getOrPut(route.name) { WorkEstimates(route, terms) }

    /** Learns from a try of [spec] that ended at [server]. */
    fun learn(
        spec: RequestSpec,
        send: Placement.Send,
        report: AttemptReport,
        server: KnownServer,
        nowMs: Long,
    ) {
        server.load.noteEnded()
        when (report.outcome) {
            AttemptOutcome.ANSWERED -> learnAnswer(spec, send, server, report.tookMs, nowMs)
            AttemptOutcome.FAILED, AttemptOutcome.SHED -> {
                server.load.noteAnswer(nowMs)
                server.trust.noteAnswer(isGood = false, nowMs)
            }
            AttemptOutcome.MISDIRECTED, AttemptOutcome.NOT_SENT, AttemptOutcome.LOST -> server.trust.noteFailure(nowMs)
            AttemptOutcome.TIMED_OUT -> learnTimeout(send, server, report.tookMs, nowMs)
            AttemptOutcome.CALLER_GONE -> Unit
        }
    }

    private fun learnAnswer(
        spec: RequestSpec,
        send: Placement.Send,
        server: KnownServer,
        tookMs: Long,
        nowMs: Long,
    ) {
        server.load.noteAnswer(nowMs)
        server.trust.noteAnswer(isGood = true, nowMs)
        val work = of(spec.route)
        val slowness = server.trust.slowness(nowMs)
        val workMs = (tookMs - roundTripTimes.estimateMs(server)).coerceAtLeast(1.0)
        if (send.load < server.slots) {
            val usualMs = if (work.isWarm(workMs / slowness)) work.warmMs else work.coldMs
            server.trust.noteSpeed(workMs / usualMs, nowMs)
            if (!server.isCold(nowMs)) work.learn(send.warmth, workMs / slowness)
        } else if (tookMs > send.predictedMs) {
            server.trust.noteSpeed(slowness * tookMs / send.predictedMs, nowMs)
        }
        spec.affinityKey?.let { server.warmKeys.note(it) }
    }

    private fun learnTimeout(send: Placement.Send, server: KnownServer, tookMs: Long, nowMs: Long) {
        server.trust.noteTimeout(nowMs)
        val factor = maxOf(terms.timeoutSlowness, tookMs / send.predictedMs)
        server.trust.noteSpeed(server.trust.slowness(nowMs) * factor, nowMs)
    }
}
