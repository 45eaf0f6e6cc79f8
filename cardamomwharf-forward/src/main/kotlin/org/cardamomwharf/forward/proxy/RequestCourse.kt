/*
 * The course of one request: its tries at backend servers one after the other, and one final answer. Whatever comes
 * first ends it: an answer, the end of its time, or the caller's disconnect.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.listener.WatchedEndPoint
import org.cardamomwharf.forward.server.CallResult
import org.cardamomwharf.forward.server.ServerCall
import org.cardamomwharf.forward.server.ServerRequest
import org.cardamomwharf.forward.server.ServerResponse
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RequestSpec
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

internal class RequestCourse(
    private val tools: ForwardingContext,
    private val request: Request,
    private val replies: CourseReplies,
    private val spec: RequestSpec,
) {
    private val endPoint = request.connectionMetaData.connection.endPoint as? WatchedEndPoint
    private val tried = ArrayList<Placement.Send>()
    private val tries = ArrayList<AttemptTrace>()
    private var body: ByteBuffer? = null
    private var call: ServerCall? = null
    private var sentAtMs = 0L
    private var timer: Scheduler.Task? = null
    private var mayHaveRun = false
    private var isOver = false

    /** Starts the first try. */
    fun start(body: ByteBuffer?) {
        this.body = body
        tools.underWay.incrementAndGet()
        request.addIdleTimeoutListener { false }
        val leftMs = (spec.deadlineAtMs - tools.clock.nowMs()).coerceAtLeast(0)
        timer = tools.scheduler.schedule(::onTimeout, leftMs, TimeUnit.MILLISECONDS)
        endPoint?.watch(::onCallerGone)
        when (val placement = tools.steering.withLock { steering, nowMs -> steering.place(spec, nowMs) }) {
            is Placement.Send -> send(placement)
            is Placement.Refuse -> finish { replies.refuse(placement.reason, placement.retryAfterMs, tries) }
        }
    }

    private fun send(placement: Placement.Send) {
        val next = synchronized(this) {
            if (isOver) {
                val unsent = AttemptReport(AttemptOutcome.CALLER_GONE, mayHaveRun, 0)
                tools.steering.withLock { steering, nowMs -> steering.recordOutcome(spec, placement, unsent, nowMs) }
                return
            }
            tried.add(placement)
            sentAtMs = tools.clock.nowMs()
            ServerCall(placement.server, placement.address, requestFor(placement)) { onCallEnd(placement, it) }
                .also { call = it }
        }
        tools.pool.send(next)
    }

    private fun requestFor(placement: Placement.Send): ServerRequest {
        val leftMs = (spec.deadlineAtMs - tools.clock.nowMs()).coerceAtLeast(1)
        val fields = endToEnd(request.headers)
            .put(HeaderNames.DEADLINE_MS, leftMs.toString())
            .put(HeaderNames.EXPECTED_SERVER, placement.server.value)
        return ServerRequest(spec.id, request.method, request.httpURI.pathQuery, fields, body)
    }

    private fun onCallEnd(placement: Placement.Send, end: CallResult) {
        val next = synchronized(this) {
            if (isOver || placement !== tried.last()) return
            val report = noteTry(attemptEndOf(end), detailOf(end))
            val load = (end as? CallResult.Completed)?.response?.report
            tools.steering.withLock { steering, nowMs ->
                load?.let { steering.servers.find(placement.server)?.load?.recordLoadReport(it, nowMs) }
                steering.completeAttempt(spec, tried, report, nowMs)
            }
        }
        follow(next, (end as? CallResult.Completed)?.response)
    }

    private fun follow(next: NextStep, answer: ServerResponse?) {
        when (next) {
            is NextStep.Retry -> send(next.placement)
            is NextStep.Refuse -> finish { replies.refuse(next.reason, next.retryAfterMs, tries) }
            NextStep.RelayResponse -> finish { replies.passOn(checkNotNull(answer), tries) }
            NextStep.ReportUnknown -> finish { replies.reply(OwnReply(StatusCode.BAD_GATEWAY, "unknown"), tries) }
            NextStep.ReportTimeout -> finish { replies.reply(timeoutReply, tries) }
        }
    }

    private fun onTimeout() = stopEarly(AttemptOutcome.TIMED_OUT) { replies.reply(timeoutReply, tries) }

    private fun onCallerGone() = stopEarly(AttemptOutcome.CALLER_GONE) { replies.endUnanswered(tries) }

    private fun stopEarly(end: AttemptOutcome, last: () -> Unit) {
        val pending = synchronized(this) {
            if (isOver) return
            if (tries.size < tried.size) {
                val report = noteTry(end, "")
                tools.steering.withLock { steering, nowMs -> steering.recordOutcome(spec, tried.last(), report, nowMs) }
            }
            call
        }
        finish(last)
        pending?.cancel()
    }

    private fun noteTry(end: AttemptOutcome, detail: String): AttemptReport {
        val tookMs = tools.clock.nowMs() - sentAtMs
        tries.add(AttemptTrace(tried.last(), end.code, detail, tookMs))
        return AttemptReport(end, mayHaveRun, tookMs).also { mayHaveRun = mayHaveRun || !end.isNotExecuted }
    }

    private fun finish(last: () -> Unit) {
        synchronized(this) {
            if (isOver) return
            isOver = true
        }
        timer?.cancel()
        endPoint?.unwatch()
        tools.underWay.decrementAndGet()
        last()
    }

    private companion object {
        val timeoutReply = OwnReply(StatusCode.GATEWAY_TIMEOUT, AttemptOutcome.TIMED_OUT.code)
    }
}
