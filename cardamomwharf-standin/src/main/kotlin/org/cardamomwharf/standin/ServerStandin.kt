/*
 * Stands in for a backend server: it has slots, a service time, a cold start, sheds load, reports its load and counts
 * how often it ran each key.
 */
package org.cardamomwharf.standin

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.http.HttpServerSettings
import org.cardamomwharf.http.JettyServer
import org.cardamomwharf.http.Route
import org.cardamomwharf.http.jsonResponse
import org.cardamomwharf.http.routeRequests
import org.cardamomwharf.http.startJettyServer
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.atomic.AtomicReference

private const val SILENT_MS = 20_000L
private const val COLD_FACTOR = 4
private const val SHED_FACTOR = 2

/**
 * Represents how a backend server behaves.
 *
 * @param coldMs time after the start during which a request takes four times as long.
 * @param answerBytes size of an answer.
 */
public data class ServerBehaviour(
    public val name: String,
    public val slots: Int,
    public val serviceMs: Long,
    public val coldMs: Long = 0,
    public val answerBytes: Int = 256,
)

/** Represents the stand-in. */
public class ServerStandin(private val behaviour: ServerBehaviour) {
    /** What the server ran. */
    public val counts: RunCounts = RunCounts()
    private val clock = monotonicClock()
    private val startedAtMs = clock.nowMs()

    private val lastRequest = AtomicReference<Request>()

    @Volatile
    private var faults = ServerFaults()

    /** Answers requests, and the admin calls of the stand-in. */
    public val handler: HttpHandler = routeRequests(
        Route(Method.GET, "/wharf/load") { loadResponse() },
        Route(Method.GET, "/wharf/health") { Response(Status.OK).body("well\n") },
        Route(Method.GET, "/wharf/runs") { jsonResponse(StatusCode.OK, Json.encodeToString(counts.countKeys())) },
        Route(Method.GET, "/wharf/total") { jsonResponse(StatusCode.OK, counts.totalJson()) },
        Route(Method.PUT, "/faults") { changeFaults(readServerFaults(it)) },
        Route(null, "/") { serve(it) },
    )

    /** Returns a started server of this stand-in at [address]. */
    public fun start(address: SocketAddress): JettyServer =
        startJettyServer(HttpServerSettings(address), handler = handler)

    /** Replaces the faults. */
    public fun changeFaults(next: ServerFaults): Response {
        faults = next
        return done()
    }

    private fun loadResponse(): Response {
        val isHonest = !faults.isHealthLying
        val shown = if (isHonest) counts.inFlight else 0
        val isLeaving = isHonest && faults.isLeaving
        return jsonResponse(StatusCode.OK, """{"inFlight":$shown,"isLeaving":$isLeaving}""")
    }

    private fun serve(request: Request): Response {
        val current = faults
        val taken = counts.enter()
        try {
            if (current.isRefusing || taken > behaviour.slots * SHED_FACTOR) return refuse(request, current)
            return run(request, current)
        } finally {
            counts.leave()
        }
    }

    private fun refuse(request: Request, current: ServerFaults): Response =
        mark(Response(Status.SERVICE_UNAVAILABLE), current)
            .header(HeaderNames.ATTEMPT, request.header(HeaderNames.ATTEMPT).orEmpty())
            .header(HeaderNames.REFUSED, "true")
            .header(HeaderNames.RETRY_AFTER, "1")

    private fun run(request: Request, current: ServerFaults): Response {
        counts.note(request.header(HeaderNames.IDEMPOTENCY_KEY))
        Thread.sleep(serviceMs() + current.delayMs)
        if (current.isSilent) Thread.sleep(SILENT_MS)
        val before = lastRequest.getAndSet(request) ?: request
        return answerTo(if (current.isCrossing) before else request, current)
    }

    private fun answerTo(request: Request, current: ServerFaults): Response =
        mark(Response(Status.OK), current)
            .header("Content-Type", "text/plain")
            .header(HeaderNames.ATTEMPT, request.header(HeaderNames.ATTEMPT).orEmpty())
            .body(bodyFor(request))

    private fun mark(response: Response, current: ServerFaults): Response =
        if (current.isLeaving && !current.isHealthLying) response.header(HeaderNames.LEAVING, "true") else response

    private fun serviceMs(): Long {
        val isCold = clock.nowMs() - startedAtMs < behaviour.coldMs
        return if (isCold) behaviour.serviceMs * COLD_FACTOR else behaviour.serviceMs
    }

    private fun bodyFor(request: Request): String =
        "${behaviour.name} ${request.method} ${request.uri.path}\n".padEnd(behaviour.answerBytes, '.')
}
