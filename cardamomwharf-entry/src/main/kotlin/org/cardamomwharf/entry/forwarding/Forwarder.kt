/*
 * Forwards requests to backend servers. Requests that must not be repeated use a new connection each, all others use
 * pooled connections. The result of each attempt is reported once.
 */
package org.cardamomwharf.entry.forwarding

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.requests.RegisteredRequest
import org.cardamomwharf.entry.requests.RequestRegistry
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.PendingCall
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/**
 * Holds the HTTP clients for backend servers.
 *
 * @param pooled reuses connections for multiple requests.
 * @param unpooled opens a new connection for each request.
 * @param loadReports fetches load reports; the responses have no attempt ID and must never share a connection with
 *     requests.
 */
public class ServerHttpClients(
    public val pooled: HttpClient,
    public val unpooled: HttpClient,
    public val loadReports: HttpClient,
)

/** Forwards requests to backend servers. */
public class Forwarder(
    private val clients: ServerHttpClients,
    private val requestRegistry: RequestRegistry,
    private val eventQueue: EventQueue,
    private val clock: Clock,
) {
    private val pendingCalls = ConcurrentHashMap<AttemptId, CompletableFuture<PendingCall>>()

    /** Starts the attempt of [effect]. */
    public fun forward(effect: EntryEffect.Forward) {
        val request = requestRegistry.find(effect.request)
        if (request == null) {
            eventQueue.put(EntryEvent.AttemptEnded(effect.attempt, AttemptResult.NotSent(Reason.BUSY)))
            return
        }
        val client = if (effect.isFreshConnection) clients.unpooled else clients.pooled
        val pendingCall = CompletableFuture<PendingCall>()
        pendingCalls[effect.attempt] = pendingCall
        pendingCall.complete(client.start(createCall(effect, request)) { complete(effect.attempt, request, it) })
    }

    /** Cancels the attempt; returns false if it has no pending call in this process. */
    public fun cancel(attempt: AttemptId): Boolean {
        val pendingCall = pendingCalls.remove(attempt)
        pendingCall?.thenAccept { it.cancel() }
        return pendingCall != null
    }

    private fun createCall(effect: EntryEffect.Forward, request: RegisteredRequest): HttpCall {
        val remainingMs = (request.spec.deadlineAtMs - clock.nowMs()).coerceAtLeast(1)
        val wharfFields = listOf(
            HttpField(HeaderNames.DEADLINE_MS, remainingMs.toString()),
            HttpField(HeaderNames.ATTEMPT, effect.attempt.value),
        )
        return HttpCall(
            method = request.forwardedRequest.method,
            url = "http://${effect.address}${request.forwardedRequest.pathAndQuery}",
            headers = request.forwardedRequest.fields.map { HttpField(it.name, it.value) } + wharfFields,
            body = request.forwardedRequest.body,
            timeoutMs = remainingMs,
        )
    }

    private fun complete(attempt: AttemptId, request: RegisteredRequest, httpResult: HttpResult) {
        pendingCalls.remove(attempt)
        val result = createAttemptResult(httpResult, attempt, request.spec.isIdempotent)
        if (result is AttemptResult.Completed && httpResult is HttpResult.Completed) {
            requestRegistry.storeResponse(request.spec.id, attempt, createHandedOverResponse(httpResult.response))
        }
        eventQueue.put(EntryEvent.AttemptEnded(attempt, result))
    }
}
