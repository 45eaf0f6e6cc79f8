/*
 * One structured line for each decision. Lines about requests are bounded: requests that failed have a large part of
 * their own, others a small one, and what finds no room is counted. Writing never waits.
 */
package org.cardamomwharf.gateway.logs

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.apache.logging.log4j.LogManager
import org.cardamomwharf.core.Clock
import org.cardamomwharf.forward.proxy.AttemptTrace
import org.cardamomwharf.forward.proxy.RequestTrace
import org.cardamomwharf.forward.proxy.TraceSink

/** Lines each second about requests that were answered in time; enough for a sample of every route. */
private const val SUCCESS_LINES_PER_SECOND = 10

/** Lines each second about requests that were not; more than an instance fails outside of outages. */
private const val FAILURE_LINES_PER_SECOND = 150
private const val MIN_FAILURE_STATUS = 400
private const val MS_PER_SECOND = 1_000L

/** Represents the log of decisions. */
public class DecisionLog(private val clock: Clock) : TraceSink {
    private val logger = LogManager.getLogger("cardamomwharf.decisions")
    private val good = LineRateLimiter(SUCCESS_LINES_PER_SECOND)
    private val failed = LineRateLimiter(FAILURE_LINES_PER_SECOND)

    /** Writes a line about [event] with what [fill] adds. */
    public fun event(event: String, fill: JsonObjectBuilder.() -> Unit = {}) {
        logger.info(
            buildJsonObject {
                put("atMs", clock.nowMs())
                put("event", event)
                fill()
            }.toString(),
        )
    }

    override fun record(trace: RequestTrace) {
        val isFailed = trace.status == 0 || trace.status >= MIN_FAILURE_STATUS || trace.attempts.size > 1
        val allowance = if (isFailed) failed else good
        val skipped = allowance.take(clock.nowMs()) ?: return
        event("request") { fillRequest(trace, skipped) }
    }

    private fun JsonObjectBuilder.fillRequest(trace: RequestTrace, skipped: Long) {
        put("id", trace.requestId)
        put("route", trace.route)
        put("service", trace.service)
        put("key", trace.key)
        put("desired", trace.desiredVersion)
        put("outcome", trace.outcome)
        put("status", trace.status)
        put("tookMs", trace.tookMs)
        put("leftMs", trace.remainingMs)
        if (skipped > 0) put("linesSkipped", skipped)
        putJsonArray("tries") { trace.attempts.forEach { attempt -> addJsonObject { fillAttempt(attempt) } } }
    }

    private fun JsonObjectBuilder.fillAttempt(attempt: AttemptTrace) {
        put("server", attempt.placement.server.value)
        put("warmth", attempt.placement.warmth.name)
        put("predictedMs", attempt.placement.predictedMs.toLong())
        put("load", attempt.placement.load.toLong())
        put("region", attempt.placement.region?.value)
        put("choice", attempt.placement.choice.code)
        put("end", attempt.outcome)
        put("detail", attempt.detail)
        put("tookMs", attempt.tookMs)
    }

    /** Counts lines of the current second. */
    private class LineRateLimiter(private val perSecond: Int) {
        private var second = 0L
        private var used = 0
        private var skipped = 0L

        /** Returns the lines skipped since the last one, or null when there is no room for this one. */
        @Synchronized
        fun take(nowMs: Long): Long? {
            val current = nowMs / MS_PER_SECOND
            if (current != second) {
                second = current
                used = 0
            }
            if (used >= perSecond) {
                skipped++
                return null
            }
            used++
            return skipped.also { skipped = 0 }
        }
    }
}
