/*
 * Forwards one request: makes attempts at backend servers and sends one final response. An attempt follows another one
 * that has failed; a hedge is sent while the first attempt is pending, and the first answer counts. A final response,
 * the deadline, or a disconnect of the caller ends the request, whichever comes first.
 */
package org.cardamomwharf.forward.proxy

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
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
    private val sent = SentAttempts()
    private var body: ByteBuffer? = null
    private var timer: Scheduler.Task? = null
    private var hedgeTimer: Scheduler.Task? = null
    private var isFinished = false

    /** Starts the first attempt. */
    fun start(body: ByteBuffer?) {
        this.body = body
        val fingerprint =
            fingerprintOf(request.method, request.httpURI.pathQuery, request.headers, body, spec.team?.name)
        spec = spec.copy(fingerprint = fingerprint)
        responses.fingerprint = spec.fingerprint
        context.inFlight.add(this)
        request.addIdleTimeoutListener { false }
        disconnects?.watchDisconnect(::onCallerDisconnect)
        val remainingMs = (spec.deadlineAtMs - context.clock.nowMs()).coerceAtLeast(0)
        timer = context.scheduler.schedule(
            { finish(AttemptOutcome.TIMED_OUT) { responses.reply(timeoutReply, sent.traces) } },
            remainingMs,
            TimeUnit.MILLISECONDS,
        )
        val (placement, hedgeDelayMs) = context.steering.withLock { steering, nowMs ->
            val placement = steering.place(spec, nowMs)
            placement to (placement as? Placement.Send)?.let { steering.hedges.delayMs(spec, it) }
        }
        when (placement) {
            is Placement.Send -> {
                hedgeTimer = hedgeDelayMs
                    ?.let { context.scheduler.schedule(::onFirstAttemptLate, it, TimeUnit.MILLISECONDS) }
                send(placement)
            }
            is Placement.Refuse -> finish { responses.refuse(placement.reason, placement.retryAfterMs, sent.traces) }
        }
    }

    fun toRequestInFlight(): RequestInFlight = synchronized(this) {
        val nowMs = context.clock.nowMs()
        RequestInFlight(
            requestId = spec.id,
            service = spec.service,
            servers = sent.placements.map { it.server },
            tookMs = nowMs - spec.arrivedAtMs,
            remainingMs = spec.deadlineAtMs - nowMs,
        )
    }

    /** Sends a hedge if the first attempt is still pending and nothing speaks against one. */
    private fun onFirstAttemptLate() {
        val placement = synchronized(this) {
            if (isFinished || !sent.isFirstPending) return
            context.steering.withLock { steering, nowMs -> steering.hedges.place(spec, sent.placements, nowMs) }
        }
        placement?.let { send(it, HedgeRoom(responseRoom, context.pool.bodyBudget)) }
    }

    /** Sends an attempt; [hedgeRoom] is the memory for the response to a hedge. */
    private fun send(placement: Placement.Send, hedgeRoom: HedgeRoom? = null) {
        val next = synchronized(this) {
            if (isFinished) {
                val unsent = AttemptReport(AttemptOutcome.CALLER_GONE, sent.mayHaveExecuted, 0)
                context.steering.withLock { steering, nowMs -> steering.recordOutcome(spec, placement, unsent, nowMs) }
                return
            }
            val attempt = sent.add(placement, hedgeRoom, context.clock.nowMs())
            val remainingMs = (spec.deadlineAtMs - attempt.sentAtMs).coerceAtLeast(1)
            val room = hedgeRoom?.reservation ?: responseRoom
            createAttempt(request, spec, placement, remainingMs, body)
                .map { content ->
                    ServerCall(placement.server, placement.address, content, room) { onCallResult(attempt, it) }
                        .also { attempt.call = it }
                }
                .mapError { attempt to it }
        }
        next.onSuccess { context.pool.send(it) }.onFailure { (attempt, error) -> onUnwritable(attempt, error) }
    }

    private fun onUnwritable(attempt: SentAttempt, error: HeadError) {
        val next = synchronized(this) {
            if (isFinished) return
            val report = sent.end(attempt, AttemptOutcome.UNWRITABLE, error.toString(), context.clock.nowMs())
            complete(attempt, report)
        }
        next?.let { takeNextStep(it, null) }
    }

    private fun onCallResult(attempt: SentAttempt, result: CallResult) {
        val next = synchronized(this) {
            if (isFinished || !attempt.isPending) return
            val report = sent.end(attempt, result, context.clock.nowMs())
            val placement = attempt.placement
            val serverReport = (result as? CallResult.Completed)?.response?.report
                ?.takeIf { report.outcome != AttemptOutcome.MISDIRECTED }
            if (serverReport?.isLimitMalformed == true) context.reportListener.onMalformedLimit(placement.server)
            context.steering.withLock { steering, nowMs ->
                serverReport?.let { steering.recordServerReport(placement, it, nowMs) }
                    ?.let { context.reportListener.onChange(placement.server, it) }
                complete(attempt, report)
                    .also { if (steering.crashingRequests.outbox.hasMessages) context.reportListener.onCrashReports() }
            }
        }
        next?.let { takeNextStep(it, (result as? CallResult.Completed)?.response) }
    }

    /** Returns the next step, or null if another attempt is pending, which may still be answered. */
    private fun complete(attempt: SentAttempt, report: AttemptReport): NextStep? =
        context.steering.withLock { steering, nowMs ->
            if (sent.hasPending && report.outcome != AttemptOutcome.ANSWERED) {
                steering.recordOutcome(spec, attempt.placement, report, nowMs)
                null
            } else {
                val latestLast = sent.placements.filter { it !== attempt.placement } + attempt.placement
                steering.completeAttempt(spec, latestLast, report, nowMs)
            }
        }

    private fun takeNextStep(next: NextStep, response: ServerResponse?) {
        when (next) {
            is NextStep.Retry -> send(next.placement)
            is NextStep.Refuse -> finish { responses.refuse(next.reason, next.retryAfterMs, sent.traces) }
            NextStep.RelayResponse -> finish { responses.relay(checkNotNull(response), sent.traces) }
            NextStep.ReportUnknown -> finish {
                responses.reply(LocalReply(StatusCode.BAD_GATEWAY, "unknown"), sent.traces)
            }
            NextStep.RejectRequest -> finish { responses.reply(unwritableReply, sent.traces) }
            NextStep.ReportTimeout -> finish { responses.reply(timeoutReply, sent.traces) }
        }
    }

    private fun onCallerDisconnect() {
        val isClosedHere = disconnects?.isClosedAsIdle == true
        val outcome = if (isClosedHere) AttemptOutcome.CONNECTION_CLOSED else AttemptOutcome.CALLER_GONE
        finish(outcome) { responses.abort(outcome, sent.traces) }
    }

    /** Ends the request; attempts that are pending end with [outcome] and are cancelled. */
    private fun finish(outcome: AttemptOutcome = AttemptOutcome.SUPERSEDED, sendFinal: () -> Unit) {
        val cancelled = synchronized(this) {
            if (isFinished) return
            isFinished = true
            sent.pending.onEach { attempt ->
                val report = sent.end(attempt, outcome, "", context.clock.nowMs())
                context.steering.withLock { steering, nowMs ->
                    steering.recordOutcome(spec, attempt.placement, report, nowMs)
                }
            }
        }
        timer?.cancel()
        hedgeTimer?.cancel()
        disconnects?.unwatchDisconnect()
        context.inFlight.remove(this)
        sendFinal()
        cancelled.forEach { it.call?.cancel() }
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
