/*
 * The course of one request: its tries at backend servers one after the other, and one final answer. Whatever comes
 * first ends it: an answer, the end of its time, or the caller's disconnect.
 */
package org.cardamomwharf.forward.course

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.FieldNames
import org.cardamomwharf.forward.front.WatchedEndPoint
import org.cardamomwharf.forward.server.CallEnd
import org.cardamomwharf.forward.server.ServerAnswer
import org.cardamomwharf.forward.server.ServerCall
import org.cardamomwharf.steering.requests.AttemptEnd
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.io.EofException
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

internal class RequestCourse(
    private val tools: CourseTools,
    private val request: Request,
    private val response: Response,
    private val callback: Callback,
    private val spec: RequestSpec,
    private val desiredVersion: Long,
) {
    private val endPoint = request.connectionMetaData.connection.endPoint as? WatchedEndPoint
    private val tried = ArrayList<Placement.Send>()
    private val tries = ArrayList<TryTrace>()
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
        val leftMs = (spec.endsAtMs - tools.clock.nowMs()).coerceAtLeast(0)
        timer = tools.scheduler.schedule(::onTimeout, leftMs, TimeUnit.MILLISECONDS)
        endPoint?.watch(::onCallerGone)
        when (val placement = tools.steering.decide { steering, nowMs -> steering.place(spec, nowMs) }) {
            is Placement.Send -> send(placement)
            is Placement.Refuse -> finish { refuse(placement.reason, placement.retryAfterMs) }
        }
    }

    /** Refuses a request that came with too little time. */
    fun refuseTooLate() {
        tools.underWay.incrementAndGet()
        finish { refuse(RefusalReason.TOO_LATE, 0) }
    }

    /** Ends a request whose body did not arrive whole. */
    fun failBody(cause: Throwable) {
        tools.underWay.incrementAndGet()
        val reply = if (cause is IllegalStateException) {
            OwnReply(CONTENT_TOO_LARGE, "body-too-large")
        } else {
            OwnReply(StatusCode.BAD_REQUEST, "body-truncated")
        }
        finish { reply(reply, isClosing = true) }
    }

    private fun send(placement: Placement.Send) {
        val next = synchronized(this) {
            if (isOver) return abandon(placement)
            tried.add(placement)
            sentAtMs = tools.clock.nowMs()
            newCall(placement).also { call = it }
        }
        tools.pool.send(next)
    }

    private fun abandon(placement: Placement.Send) {
        tools.steering.decide { steering, nowMs -> steering.abandon(spec, placement, AttemptEnd.CALLER_GONE, 0, nowMs) }
    }

    private fun newCall(placement: Placement.Send): ServerCall {
        var made: ServerCall? = null
        val call = ServerCall(
            server = placement.server,
            address = placement.address,
            requestId = spec.id,
            method = request.method,
            target = request.httpURI.pathQuery,
            fields = fieldsFor(placement),
            body = body,
            onEnd = { end -> made?.let { onCallEnd(it, end) } },
        )
        made = call
        return call
    }

    private fun fieldsFor(placement: Placement.Send): HttpFields {
        val leftMs = (spec.endsAtMs - tools.clock.nowMs()).coerceAtLeast(1)
        return endToEnd(request.headers)
            .put(FieldNames.DEADLINE_MS, leftMs.toString())
            .put(FieldNames.EXPECTED_SERVER, placement.server.value)
    }

    private fun onCallEnd(ended: ServerCall, end: CallEnd) {
        val nowMs = tools.clock.nowMs()
        val next = synchronized(this) {
            if (isOver || ended !== call) return
            val attemptEnd = classify(end)
            noteTry(attemptEnd, detailOf(end), nowMs)
            val report = (end as? CallEnd.Answered)?.answer?.report
            tools.steering.decide { steering, now ->
                report?.let { steering.noteReport(tried.last().server, it, now) }
                steering.settle(spec, tried, attemptEnd, mayHaveRun, nowMs - sentAtMs, now)
                    .also { mayHaveRun = mayHaveRun || !attemptEnd.isRunExcluded }
            }
        }
        follow(next, (end as? CallEnd.Answered)?.answer)
    }

    private fun follow(next: NextStep, answer: ServerAnswer?) {
        when (next) {
            is NextStep.TryAgain -> send(next.placement)
            is NextStep.Refuse -> finish { refuse(next.reason, next.retryAfterMs) }
            NextStep.PassOn -> finish { passOn(checkNotNull(answer)) }
            NextStep.ReportUnknown -> finish { reply(OwnReply(StatusCode.BAD_GATEWAY, "unknown")) }
            NextStep.ReportTimeout -> finish { reply(OwnReply(StatusCode.GATEWAY_TIMEOUT, "timeout")) }
        }
    }

    private fun onTimeout() = stopEarly(AttemptEnd.TIMED_OUT) {
        reply(OwnReply(StatusCode.GATEWAY_TIMEOUT, AttemptEnd.TIMED_OUT.code))
    }

    private fun onCallerGone() = stopEarly(AttemptEnd.CALLER_GONE) {
        trace(AttemptEnd.CALLER_GONE.code, 0)
        callback.failed(EofException("the caller closed the connection"))
    }

    private fun stopEarly(end: AttemptEnd, last: () -> Unit) {
        val pending = synchronized(this) {
            if (isOver) return
            val pending = call
            if (pending != null && tries.size < tried.size) {
                val nowMs = tools.clock.nowMs()
                noteTry(end, "", nowMs)
                tools.steering.decide { steering, now ->
                    steering.abandon(spec, tried.last(), end, nowMs - sentAtMs, now)
                }
            }
            pending
        }
        finish(last)
        pending?.cancel()
    }

    private fun noteTry(end: AttemptEnd, detail: String, nowMs: Long) {
        tries.add(TryTrace(tried.last(), end.code, detail, nowMs - sentAtMs))
    }

    private fun classify(end: CallEnd): AttemptEnd = when (end) {
        is CallEnd.NotSent -> AttemptEnd.NOT_SENT
        is CallEnd.Lost -> AttemptEnd.LOST
        is CallEnd.Answered -> when {
            end.answer.status == MISDIRECTED -> AttemptEnd.MISDIRECTED
            end.answer.fields.contains(FieldNames.NOT_RUN) -> AttemptEnd.SHED
            end.answer.status >= SMALLEST_SERVER_FAILURE || end.answer.status in promises -> AttemptEnd.FAILED
            else -> AttemptEnd.ANSWERED
        }
    }

    private fun detailOf(end: CallEnd): String = when (end) {
        is CallEnd.NotSent -> end.cause.code
        is CallEnd.Lost -> end.cause.code
        is CallEnd.Answered -> end.answer.status.toString()
    }

    /** Passes [answer] on, unless its status would promise the caller that the request did not run. */
    private fun passOn(answer: ServerAnswer) {
        if (answer.status in promises) return reply(OwnReply(StatusCode.BAD_GATEWAY, "unproved-refusal"))
        trace("answered", answer.status)
        writeAnswer(answer, tools.isStopping, response, callback)
    }

    private fun refuse(reason: RefusalReason, retryAfterMs: Long) {
        reply(OwnReply(StatusCode.UNAVAILABLE, reason.code, retryAfterMs))
    }

    private fun reply(reply: OwnReply, isClosing: Boolean = tools.isStopping) {
        trace(reply.code, reply.status)
        writeOwn(reply, spec.id.ifEmpty { null }, isClosing, response, callback)
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

    private fun trace(outcome: String, status: Int) {
        val nowMs = tools.clock.nowMs()
        tools.traces.take(
            RequestTrace(
                requestId = spec.id,
                route = spec.route.name,
                service = spec.service.value,
                desiredVersion = desiredVersion,
                outcome = outcome,
                status = status,
                tookMs = nowMs - spec.arrivedAtMs,
                leftMs = spec.endsAtMs - nowMs,
                tries = tries.toList(),
            ),
        )
    }

    private companion object {
        const val CONTENT_TOO_LARGE = 413
        const val MISDIRECTED = 421
        const val SMALLEST_SERVER_FAILURE = 500

        /** Statuses that promise that a request did not and won't run. */
        val promises = setOf(408, 421, 429, 503)
    }
}
