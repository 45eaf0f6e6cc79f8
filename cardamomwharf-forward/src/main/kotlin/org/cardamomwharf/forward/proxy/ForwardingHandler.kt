/*
 * Handles requests of callers: decides whether they are accepted, reads the body, and starts to forward the request.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.listener.AsyncHandler
import org.cardamomwharf.forward.listener.aheadPosition
import org.cardamomwharf.forward.server.ConnectionPool
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.requests.StopPlan
import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Scheduler
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.CompletionException
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger

/** Maximum body that is buffered for retries; far above the request bodies of the users. */
private const val MAX_BUFFERED_BODY_BYTES = 1_048_576L

/** Remaining time below which a request can't be served: one round trip within a zone. */
private const val MIN_REMAINING_MS = 5L

/** Holds the dependencies and state that all requests share. */
public class ForwardingContext(
    internal val steering: SynchronizedSteering,
    internal val pool: ConnectionPool,
    internal val scheduler: Scheduler,
    internal val clock: Clock,
    internal val reportListener: ServerReportListener = IgnoredServerReports,
    internal val traceSink: TraceSink,
) {
    internal val inFlight = AtomicInteger()

    /** Number of requests without a final response. */
    public val requestsInFlight: Int get() = inFlight.get()

    /** True when this process is stopping; responses then close their connection. */
    @Volatile
    public var isStopping: Boolean = false
        private set

    /** Begins to stop according to [plan]. */
    public fun beginStop(plan: StopPlan) {
        isStopping = true
        steering.withLock { decisions, _ -> decisions.stopPlan = plan }
    }
}

/** Returns the handler that forwards requests of callers to backend servers. */
public fun createForwardingHandler(context: ForwardingContext): AsyncHandler =
    ForwardingLookAhead(context, ForwardingHandler(context))

private class ForwardingHandler(private val context: ForwardingContext) : AsyncHandler {
    override fun handle(request: Request, response: Response, callback: Callback) {
        val arrivedAtMs = context.clock.nowMs()
        val id = request.headers.get(HeaderNames.REQUEST_ID)
        when (val admission = context.steering.withLock { steering, nowMs -> steering.admit(request, nowMs) }) {
            is Admission.Rejected -> refuse(request, response, callback, admission.reply)
            is Admission.Accepted ->
                if (request.length > maxBodyBytes(admission.desired)) {
                    refuse(request, response, callback, LocalReply(CONTENT_TOO_LARGE, "body-too-large"))
                } else {
                    val spec = createSpec(request, id, admission, arrivedAtMs)
                    readBody(request, response, callback, spec, admission.desired)
                }
        }
    }

    private fun createSpec(request: Request, id: String?, found: Admission.Accepted, arrivedAtMs: Long): RequestSpec {
        val deadlineMs = request.headers.get(HeaderNames.DEADLINE_MS)?.toDoubleOrNull()?.toLong()
        val timeoutMs = minOf(found.route.timeoutMs, deadlineMs ?: Long.MAX_VALUE)
        return RequestSpec(
            id = id ?: "",
            route = found.route,
            service = found.service,
            affinityKey = request.headers.get(HeaderNames.AFFINITY_KEY),
            arrivedAtMs = arrivedAtMs,
            deadlineAtMs = arrivedAtMs + timeoutMs,
            team = found.team,
            isKeyRemoved = found.desired.teams.isNotEmpty(),
        )
    }

    private fun readBody(
        request: Request,
        response: Response,
        callback: Callback,
        spec: RequestSpec,
        desired: DesiredState,
    ) {
        val responses = ResponseSender(context, response, callback, spec, desired.version.value)
        val forwarder = RequestForwarder(context, request, responses, spec)
        val isBodiless = request.length == 0L ||
            (request.length < 0 && !request.headers.contains(HttpHeader.TRANSFER_ENCODING))
        when {
            spec.deadlineAtMs - spec.arrivedAtMs < MIN_REMAINING_MS ->
                responses.refuse(RefusalReason.TOO_LATE, 0, emptyList())
            isBodiless -> forwarder.start(null)
            else -> Content.Source.asByteArrayAsync(request, maxBodyBytes(desired).toInt())
                .whenComplete { bytes, failure ->
                    if (failure == null) forwarder.start(ByteBuffer.wrap(bytes)) else rejectBody(responses, failure)
                }
        }
    }

    /** Rejects a request whose body was too large or incomplete. */
    private fun rejectBody(responses: ResponseSender, failure: Throwable) {
        val cause = if (failure is CompletionException) failure.cause ?: failure else failure
        val reply = when (cause) {
            is IOException, is HttpException -> LocalReply(StatusCode.BAD_REQUEST, "body-truncated")
            is TimeoutException -> LocalReply(REQUEST_TIMEOUT, "body-timeout")
            else -> LocalReply(CONTENT_TOO_LARGE, "body-too-large")
        }
        responses.reply(reply, emptyList(), isClosing = true)
    }

    private fun maxBodyBytes(desired: DesiredState): Long =
        minOf(desired.callerLimits.largestBodyBytes, MAX_BUFFERED_BODY_BYTES)

    private fun refuse(request: Request, response: Response, callback: Callback, reply: LocalReply) {
        val id = request.headers.get(HeaderNames.REQUEST_ID)
        val trace = RequestTrace(id.orEmpty(), "", "", null, 0, reply.code, reply.status, 0, 0, emptyList())
        context.traceSink.record(trace.copy(aheadPosition = request.aheadPosition))
        writeLocalReply(reply, id, context.isStopping || reply.status == CONTENT_TOO_LARGE, response, callback)
    }

    private companion object {
        const val CONTENT_TOO_LARGE = 413
        const val REQUEST_TIMEOUT = 408
    }
}
