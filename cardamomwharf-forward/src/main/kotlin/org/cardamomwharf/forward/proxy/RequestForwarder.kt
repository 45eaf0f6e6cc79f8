/*
 * Forwards one request: makes attempts at backend servers one after the other and sends one final response. A final
 * response, the deadline, or a disconnect of the caller ends it, whichever comes first.
 */
package org.cardamomwharf.forward.proxy

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.bodies.BodyReservation
import org.cardamomwharf.forward.listener.disconnectSource
import org.cardamomwharf.forward.server.CallResult
import org.cardamomwharf.forward.server.HeadError
import org.cardamomwharf.forward.server.ServerCall
import org.cardamomwharf.forward.server.ServerRequest
import org.cardamomwharf.forward.server.ServerResponse
import org.cardamomwharf.forward.server.createServerRequest
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RequestSpec
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

internal class RequestForwarder(
    private val context: ForwardingContext,
    private val request: Request,
    private val responses: ResponseSender,
    private var spec: RequestSpec,
    private val responseRoom: BodyReservation,
) {
    private val disconnects = request.disconnectSource
    private val placements = ArrayList<Placement.Send>()
    private val attempts = ArrayList<AttemptTrace>()
    private var body: ByteBuffer? = null
    private var call: ServerCall? = null
    private var sentAtMs = 0L
    private var timer: Scheduler.Task? = null
    private var mayHaveExecuted = false
    private var isFinished = false

    /** Starts the first attempt. */
    fun start(body: ByteBuffer?) {
        this.body = body
        val fingerprint =
            fingerprintOf(request.method, request.httpURI.pathQuery, request.headers, body, spec.team?.name)
        spec = spec.copy(fingerprint = fingerprint)
        responses.fingerprint = spec.fingerprint
        context.inFlight.incrementAndGet()
        request.addIdleTimeoutListener { false }
        val remainingMs = (spec.deadlineAtMs - context.clock.nowMs()).coerceAtLeast(0)
        timer = context.scheduler.schedule(::onTimeout, remainingMs, TimeUnit.MILLISECONDS)
        disconnects?.watchDisconnect(::onCallerDisconnect)
        when (val placement = context.steering.withLock { steering, nowMs -> steering.place(spec, nowMs) }) {
            is Placement.Send -> send(placement)
            is Placement.Refuse -> finish { responses.refuse(placement.reason, placement.retryAfterMs, attempts) }
        }
    }

    private fun send(placement: Placement.Send) {
        val next = synchronized(this) {
            if (isFinished) {
                val unsent = AttemptReport(AttemptOutcome.CALLER_GONE, mayHaveExecuted, 0)
                context.steering.withLock { steering, nowMs -> steering.recordOutcome(spec, placement, unsent, nowMs) }
                return
            }
            placements.add(placement)
            sentAtMs = context.clock.nowMs()
            val remainingMs = (spec.deadlineAtMs - sentAtMs).coerceAtLeast(1)
            createAttempt(request, spec, placement, remainingMs, body).map { attempt ->
                ServerCall(placement.server, placement.address, attempt, responseRoom) { onCallResult(placement, it) }
                    .also { call = it }
            }
        }
        next.onSuccess { context.pool.send(it) }.onFailure(::onUnwritable)
    }

    private fun onUnwritable(error: HeadError) {
        val next = synchronized(this) {
            if (isFinished) return
            val report = recordAttempt(AttemptOutcome.UNWRITABLE, error.toString())
            context.steering.withLock { steering, nowMs -> steering.completeAttempt(spec, placements, report, nowMs) }
        }
        takeNextStep(next, null)
    }

    private fun onCallResult(placement: Placement.Send, result: CallResult) {
        val next = synchronized(this) {
            if (isFinished || placement !== placements.last()) return
            val report = recordAttempt(toAttemptOutcome(result), describe(result), isBrokenOff(result))
            val serverReport = (result as? CallResult.Completed)?.response?.report
                ?.takeIf { report.outcome != AttemptOutcome.MISDIRECTED }
            if (serverReport?.isLimitMalformed == true) context.reportListener.onMalformedLimit(placement.server)
            context.steering.withLock { steering, nowMs ->
                serverReport?.let { steering.recordServerReport(placement, it, nowMs) }
                    ?.let { context.reportListener.onChange(placement.server, it) }
                steering.completeAttempt(spec, placements, report, nowMs)
                    .also { if (steering.crashingRequests.outbox.hasMessages) context.reportListener.onCrashReports() }
            }
        }
        takeNextStep(next, (result as? CallResult.Completed)?.response)
    }

    private fun takeNextStep(next: NextStep, response: ServerResponse?) {
        when (next) {
            is NextStep.Retry -> send(next.placement)
            is NextStep.Refuse -> finish { responses.refuse(next.reason, next.retryAfterMs, attempts) }
            NextStep.RelayResponse -> finish { responses.relay(checkNotNull(response), attempts) }
            NextStep.ReportUnknown -> finish {
                responses.reply(LocalReply(StatusCode.BAD_GATEWAY, "unknown"), attempts)
            }
            NextStep.RejectRequest -> finish { responses.reply(unwritableReply, attempts) }
            NextStep.ReportTimeout -> finish { responses.reply(timeoutReply, attempts) }
        }
    }

    private fun onTimeout() = stopEarly(AttemptOutcome.TIMED_OUT) { responses.reply(timeoutReply, attempts) }

    private fun onCallerDisconnect() = stopEarly(AttemptOutcome.CALLER_GONE) { responses.abort(attempts) }

    private fun stopEarly(outcome: AttemptOutcome, sendFinal: () -> Unit) {
        val pending = synchronized(this) {
            if (isFinished) return
            if (attempts.size < placements.size) {
                val report = recordAttempt(outcome, "")
                context.steering.withLock { steering, nowMs ->
                    steering.recordOutcome(spec, placements.last(), report, nowMs)
                }
            }
            call
        }
        finish(sendFinal)
        pending?.cancel()
    }

    private fun recordAttempt(
        outcome: AttemptOutcome,
        detail: String,
        isBrokenOff: Boolean = false,
    ): AttemptReport {
        val tookMs = context.clock.nowMs() - sentAtMs
        attempts.add(AttemptTrace(placements.last(), outcome.code, detail, tookMs))
        return AttemptReport(outcome, mayHaveExecuted, tookMs, isBrokenOff)
            .also { mayHaveExecuted = mayHaveExecuted || !outcome.isNotExecuted }
    }

    private fun finish(sendFinal: () -> Unit) {
        synchronized(this) {
            if (isFinished) return
            isFinished = true
        }
        timer?.cancel()
        disconnects?.unwatchDisconnect()
        context.inFlight.decrementAndGet()
        sendFinal()
    }

    private companion object {
        val timeoutReply = LocalReply(StatusCode.GATEWAY_TIMEOUT, AttemptOutcome.TIMED_OUT.code)
        val unwritableReply = LocalReply(StatusCode.BAD_REQUEST, AttemptOutcome.UNWRITABLE.code)
    }
}

/** Returns the request to send to the server of [placement], which may take [remainingMs]. */
private fun createAttempt(
    request: Request,
    spec: RequestSpec,
    placement: Placement.Send,
    remainingMs: Long,
    body: ByteBuffer?,
): Result<ServerRequest, HeadError> {
    val fields = withTeam(removeHopByHopFields(request.headers), spec)
        .put(HeaderNames.DEADLINE_MS, remainingMs.toString())
        .put(HeaderNames.EXPECTED_SERVER, placement.server.value)
    return createServerRequest(spec.id, request.method, request.httpURI.pathQuery, fields, body)
}

/** Replaces what the caller states about its team in [fields] by the team that was found. */
private fun withTeam(fields: HttpFields.Mutable, spec: RequestSpec): HttpFields.Mutable {
    if (spec.isKeyRemoved) fields.remove(HeaderNames.TEAM_KEY)
    fields.remove(HeaderNames.TEAM)
    spec.team?.let { fields.put(HeaderNames.TEAM, it.name.value) }
    return fields
}
