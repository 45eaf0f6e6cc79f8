/*
 * Takes requests of callers: finds the route, reads the body, and starts the course of the request.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.listener.AsyncHandler
import org.cardamomwharf.forward.server.ConnectionPool
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
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

/** Body that is kept while a request is under way; far above the requests of today's users. */
private const val LARGEST_KEPT_BODY_BYTES = 1_048_576L

/** Delay that callers are told while no configuration is known; the store is read several times in it. */
private const val NO_STATE_RETRY_MS = 300L

/** Time below which a request can't be served any more: one way there and back in a zone. */
private const val LEAST_TIME_MS = 5L

/** Represents what the courses of requests share. */
public class ForwardingContext(
    internal val steering: SynchronizedSteering,
    internal val pool: ConnectionPool,
    internal val scheduler: Scheduler,
    internal val clock: Clock,
    internal val traces: TraceSink,
) {
    internal val underWay = AtomicInteger()

    /** Requests that have no final answer yet. */
    public val requestsInFlight: Int get() = underWay.get()

    /** True when this process is stopping; answers then close their connection. */
    @Volatile
    public var isStopping: Boolean = false
}

/** Returns the handler for callers. */
public fun createForwardingHandler(tools: ForwardingContext): AsyncHandler = ForwardingHandler(tools)

private class ForwardingHandler(private val tools: ForwardingContext) : AsyncHandler {
    override fun handle(request: Request, response: Response, callback: Callback) {
        val arrivedAtMs = tools.clock.nowMs()
        val id = request.headers.get(HeaderNames.REQUEST_ID)
        val (desired, found) = tools.steering.withLock { steering, _ ->
            steering.routes.desired to findRoute(steering, request)
        }
        when {
            desired == null -> refuse(request, response, callback, noState())
            found == null -> refuse(request, response, callback, OwnReply(StatusCode.NOT_FOUND, "no-route"))
            request.length > largestBody(desired) ->
                refuse(request, response, callback, OwnReply(CONTENT_TOO_LARGE, "body-too-large"))
            else -> read(request, response, callback, specOf(request, id, found, arrivedAtMs), desired)
        }
    }

    private fun findRoute(steering: Steering, request: Request): Found? {
        val host = request.headers.get(HttpHeader.HOST)
        val route = host?.let { steering.routes.find(it, request.httpURI.path.orEmpty()) }
        return route?.let { Found(it, steering.routes.chooseService(it)) }
    }

    private fun specOf(request: Request, id: String?, found: Found, arrivedAtMs: Long): RequestSpec {
        val deadlineMs = request.headers.get(HeaderNames.DEADLINE_MS)?.toDoubleOrNull()?.toLong()
        val givenMs = minOf(found.route.timeoutMs, deadlineMs ?: Long.MAX_VALUE)
        return RequestSpec(
            id = id ?: "",
            route = found.route,
            service = found.service,
            affinityKey = request.headers.get(HeaderNames.AFFINITY_KEY),
            arrivedAtMs = arrivedAtMs,
            deadlineAtMs = arrivedAtMs + givenMs,
        )
    }

    private fun read(
        request: Request,
        response: Response,
        callback: Callback,
        spec: RequestSpec,
        desired: DesiredState,
    ) {
        val replies = CourseReplies(tools, response, callback, spec, desired.version.value)
        val course = RequestCourse(tools, request, replies, spec)
        val isBodiless = request.length == 0L ||
            (request.length < 0 && !request.headers.contains(HttpHeader.TRANSFER_ENCODING))
        when {
            spec.deadlineAtMs - spec.arrivedAtMs < LEAST_TIME_MS ->
                replies.refuse(RefusalReason.TOO_LATE, 0, emptyList())
            isBodiless -> course.start(null)
            else -> Content.Source.asByteArrayAsync(request, largestBody(desired).toInt())
                .whenComplete { bytes, failure ->
                    if (failure == null) course.start(ByteBuffer.wrap(bytes)) else failBody(replies, failure)
                }
        }
    }

    /** Ends a request whose body was too large or did not arrive whole. */
    private fun failBody(replies: CourseReplies, failure: Throwable) {
        val cause = if (failure is CompletionException) failure.cause ?: failure else failure
        val reply = when (cause) {
            is IOException, is HttpException -> OwnReply(StatusCode.BAD_REQUEST, "body-truncated")
            is TimeoutException -> OwnReply(REQUEST_TIMEOUT, "body-timeout")
            else -> OwnReply(CONTENT_TOO_LARGE, "body-too-large")
        }
        replies.reply(reply, emptyList(), isClosing = true)
    }

    private fun largestBody(desired: DesiredState): Long =
        minOf(desired.callerLimits.largestBodyBytes, LARGEST_KEPT_BODY_BYTES)

    private fun refuse(request: Request, response: Response, callback: Callback, reply: OwnReply) {
        val id = request.headers.get(HeaderNames.REQUEST_ID)
        tools.traces.record(RequestTrace(id.orEmpty(), "", "", null, 0, reply.code, reply.status, 0, 0, emptyList()))
        writeOwn(reply, id, tools.isStopping || reply.status == CONTENT_TOO_LARGE, response, callback)
    }

    private fun noState() = OwnReply(StatusCode.UNAVAILABLE, RefusalReason.NO_STATE.code, NO_STATE_RETRY_MS)

    private data class Found(val route: Route, val service: ServiceName)

    private companion object {
        const val CONTENT_TOO_LARGE = 413
        const val REQUEST_TIMEOUT = 408
    }
}
