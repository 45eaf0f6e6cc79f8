/*
 * Writes one structured line for each decision. Lines about requests are rate-limited, with a large limit for failed
 * requests and a small one for the others, and skipped lines are counted. Writing never blocks.
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
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.RefusalReason

/** Lines per second about successful requests; enough for a sample of every route. */
private const val SUCCESS_LINES_PER_SECOND = 10

/** Lines per second about failed or retried requests; exceeds the failure rate of an instance outside of outages. */
private const val FAILURE_LINES_PER_SECOND = 150
private const val MIN_FAILURE_STATUS = 400
private const val MS_PER_SECOND = 1_000L
private const val HEXADECIMAL = 16

/** Outcomes of requests that may crash backend servers; their lines carry the fingerprint of the request. */
private val crashOutcomes = setOf(AttemptOutcome.LOST.code, RefusalReason.CRASHES_SERVERS.code)

/** Represents the decision log. */
public class DecisionLog(private val clock: Clock) : TraceSink {
    private val logger = LogManager.getLogger("cardamomwharf.decisions")
    private val successLimiter = LineRateLimiter(SUCCESS_LINES_PER_SECOND)
    private val failureLimiter = LineRateLimiter(FAILURE_LINES_PER_SECOND)

    /** Writes a line about [event] with the fields added by [addFields]. */
    public fun event(event: String, addFields: JsonObjectBuilder.() -> Unit = {}) {
        logger.info(
            buildJsonObject {
                put("atMs", clock.nowMs())
                put("event", event)
                addFields()
            }.toString(),
        )
    }

    override fun record(trace: RequestTrace) {
        val isFailedOrRetried = trace.status == 0 || trace.status >= MIN_FAILURE_STATUS || trace.attempts.size > 1
        val limiter = if (isFailedOrRetried) failureLimiter else successLimiter
        val skipped = limiter.tryAcquire(clock.nowMs()) ?: return
        event("request") { addRequestFields(trace, skipped) }
    }

    private fun JsonObjectBuilder.addRequestFields(trace: RequestTrace, skipped: Long) {
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
        if (trace.aheadPosition > 0) put("ahead", trace.aheadPosition)
        if (trace.outcome in crashOutcomes || trace.attempts.any { it.outcome in crashOutcomes }) {
            put("fingerprint", trace.fingerprint.toULong().toString(HEXADECIMAL))
        }
        putJsonArray("tries") { trace.attempts.forEach { attempt -> addJsonObject { addAttemptFields(attempt) } } }
    }

    private fun JsonObjectBuilder.addAttemptFields(attempt: AttemptTrace) {
        put("server", attempt.placement.server.value)
        put("warmth", attempt.placement.warmth.name)
        put("predictedMs", attempt.placement.predictedMs.toLong())
        put("load", attempt.placement.load.toLong())
        put("region", attempt.placement.region?.value)
        put("choice", attempt.placement.choice.code)
        put("end", attempt.outcome)
        put("detail", attempt.detail)
        put("tookMs", attempt.tookMs)
        if (attempt.isHedge) put("hedge", true)
    }

    /** Limits the lines written per second. */
    private class LineRateLimiter(private val perSecond: Int) {
        private var second = 0L
        private var used = 0
        private var skipped = 0L

        /** Returns the number of lines skipped since the last written one, or null when the limit is reached. */
        @Synchronized
        fun tryAcquire(nowMs: Long): Long? {
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
