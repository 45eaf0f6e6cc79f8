/*
 * Sends requests to backend servers. Requests that must not be repeated go over a new connection each, all others over
 * kept ones; the end of each attempt is reported once.
 */
package org.cardamomwharf.entry.forwarding

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.entry.requests.BookedRequest
import org.cardamomwharf.entry.requests.RequestBook
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.PendingCall
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/**
 * Represents the clients for backend servers.
 *
 * @param kept shares its connections among requests.
 * @param fresh opens a connection for each request.
 * @param reports asks for load reports; their answers name no attempt and must never share a connection with requests.
 */
public class ServerCallers(
    public val kept: HttpClient,
    public val fresh: HttpClient,
    public val reports: HttpClient,
)

/** Represents the sender of requests to backend servers. */
public class Forwarder(
    private val callers: ServerCallers,
    private val book: RequestBook,
    private val ring: EventRing,
    private val clock: Clock,
) {
    private val flights = ConcurrentHashMap<AttemptId, CompletableFuture<PendingCall>>()

    /** Starts the attempt of [effect]. */
    public fun forward(effect: EntryEffect.Forward) {
        val request = book.find(effect.request)
        if (request == null) {
            ring.put(EntryEvent.AttemptEnded(effect.attempt, AttemptResult.NotSent(Reason.BUSY)))
            return
        }
        val caller = if (effect.isFreshConnection) callers.fresh else callers.kept
        val flight = CompletableFuture<PendingCall>()
        flights[effect.attempt] = flight
        flight.complete(caller.start(callOf(effect, request)) { end(effect.attempt, request, it) })
    }

    /** Stops the attempt; returns false when it doesn't run here. */
    public fun cancel(attempt: AttemptId): Boolean {
        val flight = flights.remove(attempt)
        flight?.thenAccept { it.cancel() }
        return flight != null
    }

    private fun callOf(effect: EntryEffect.Forward, request: BookedRequest): HttpCall {
        val remainingMs = (request.spec.deadlineAtMs - clock.nowMs()).coerceAtLeast(1)
        val own = listOf(
            HttpField(HeaderNames.DEADLINE_MS, remainingMs.toString()),
            HttpField(HeaderNames.ATTEMPT, effect.attempt.value),
        )
        return HttpCall(
            method = request.handed.method,
            url = "http://${effect.address}${request.handed.pathAndQuery}",
            headers = request.handed.fields.map { HttpField(it.name, it.value) } + own,
            body = request.handed.body,
            timeoutMs = remainingMs,
        )
    }

    private fun end(attempt: AttemptId, request: BookedRequest, end: HttpResult) {
        flights.remove(attempt)
        val result = attemptResultOf(end, attempt, request.spec.isIdempotent)
        if (result is AttemptResult.Completed && end is HttpResult.Completed) {
            book.keep(request.spec.id, attempt, handedAnswerOf(end.response))
        }
        ring.put(EntryEvent.AttemptEnded(attempt, result))
    }
}
