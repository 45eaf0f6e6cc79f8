/*
 * Handles requests of callers: decides whether they are accepted, reads the body, and starts to forward the request.
 */
package org.cardamomwharf.forward.proxy

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.bodies.BodyAdmission
import org.cardamomwharf.forward.bodies.BodyBound
import org.cardamomwharf.forward.bodies.BodyBuffer
import org.cardamomwharf.forward.listener.AsyncHandler
import org.cardamomwharf.forward.listener.aheadPosition
import org.cardamomwharf.forward.server.ConnectionPool
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.requests.StopPlan
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Scheduler
import java.util.concurrent.ConcurrentHashMap

/** Maximum body that is buffered for retries; far above the request bodies of the users. */
private const val MAX_BUFFERED_BODY_BYTES = 1_048_576L

/** Retry-After delay without room for a body; most of the bodies that are held are gone within it. */
private const val NO_BODY_ROOM_RETRY_MS = 500L

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
    internal val bodies = BodyAdmission(pool.bodyBudget)
    internal val inFlight: MutableSet<RequestForwarder> = ConcurrentHashMap.newKeySet()

    /** Number of requests without a final response. */
    public val requestsInFlight: Int get() = inFlight.size

    /** Memory of the bodies that are held for callers and backend servers. */
    public val bodyBytes: Long get() = pool.bodyBudget.heldBytes

    /** True when this process is stopping; responses then close their connection. */
    @Volatile
    public var isStopping: Boolean = false
        private set

    /** Returns the requests without a final response. */
    public fun findRequestsInFlight(): List<RequestInFlight> = inFlight.map { it.toRequestInFlight() }

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
        val isBodiless = request.length == 0L ||
            (request.length < 0 && !request.headers.contains(HttpHeader.TRANSFER_ENCODING))
        val isInTime = spec.deadlineAtMs - spec.arrivedAtMs >= MIN_REMAINING_MS
        val bodies = if (isInTime) context.bodies.admit(spec.route, request.length.coerceAtLeast(0)) else null
        val responses = ResponseSender(context, response, callback, spec, desired.version.value, bodies)
        when {
            !isInTime -> responses.refuse(RefusalReason.TOO_LATE, 0, emptyList())
            bodies == null -> responses.refuse(
                RefusalReason.NO_BODY_ROOM,
                NO_BODY_ROOM_RETRY_MS,
                emptyList(),
                isBodyUnread = !isBodiless,
            )
            isBodiless -> RequestForwarder(context, request, responses, spec, bodies.response).start(null)
            else -> {
                val forwarder = RequestForwarder(context, request, responses, spec, bodies.response)
                val body = BodyBuffer(maxBodyBytes(desired).toInt(), BodyBound.ADMISSION)
                body.reservation = bodies.request
                val reader = RequestBodyReader(request, body) { end ->
                    end.onSuccess(forwarder::start).onFailure { rejectBody(responses, it) }
                }
                reader.start(context.scheduler, spec.deadlineAtMs - spec.arrivedAtMs)
            }
        }
    }

    /** Rejects a request whose body was too large or incomplete, or for which there is no room. */
    private fun rejectBody(responses: ResponseSender, error: BodyError) {
        when (error) {
            BodyError.TRUNCATED ->
                responses.reply(LocalReply(StatusCode.BAD_REQUEST, "body-truncated"), emptyList(), isBodyUnread = true)
            BodyError.TIMEOUT ->
                responses.reply(LocalReply(REQUEST_TIMEOUT, "body-timeout"), emptyList(), isClosing = true)
            BodyError.TOO_LARGE ->
                responses.reply(LocalReply(CONTENT_TOO_LARGE, "body-too-large"), emptyList(), isBodyUnread = true)
            BodyError.NO_ROOM ->
                responses.refuse(RefusalReason.NO_BODY_ROOM, NO_BODY_ROOM_RETRY_MS, emptyList(), isBodyUnread = true)
        }
    }

    private fun maxBodyBytes(desired: DesiredState): Long =
        minOf(desired.callerLimits.largestBodyBytes, MAX_BUFFERED_BODY_BYTES)

    private fun refuse(request: Request, response: Response, callback: Callback, reply: LocalReply) {
        val id = request.headers.get(HeaderNames.REQUEST_ID)
        val trace = RequestTrace(id.orEmpty(), "", "", null, 0, reply.code, reply.status, 0, 0, emptyList())
        context.traceSink.record(trace.copy(aheadPosition = request.aheadPosition))
        val isBodyUnread = reply.status == CONTENT_TOO_LARGE
        val done = if (isBodyUnread) UnreadBody(request, callback, context.scheduler) else callback
        writeLocalReply(reply, id, context.isStopping || isBodyUnread, response, done)
    }

    private companion object {
        const val CONTENT_TOO_LARGE = 413
        const val REQUEST_TIMEOUT = 408
    }
}
