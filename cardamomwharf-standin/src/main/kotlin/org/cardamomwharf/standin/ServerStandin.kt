/*
 * A stand-in for a backend server: it has slots, a processing time and a cold start, sheds and reports load, and counts
 * the runs of each idempotency key.
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

private const val NO_RESPONSE_DELAY_MS = 20_000L
private const val COLD_START_FACTOR = 4
private const val LOAD_SHEDDING_FACTOR = 2

/**
 * Represents the behaviour of a server stand-in.
 *
 * @param coldMs duration of the cold start, during which a request takes four times as long.
 * @param responseBytes size of a response.
 */
public data class ServerBehaviour(
    public val name: String,
    public val slots: Int,
    public val serviceMs: Long,
    public val coldMs: Long = 0,
    public val responseBytes: Int = 256,
)

/** Serves requests as a backend server does, with optional faults. */
public class ServerStandin(private val behaviour: ServerBehaviour) {
    /** The counts of requests and runs. */
    public val counts: RunCounts = RunCounts()
    private val clock = monotonicClock()
    private val startedAtMs = clock.nowMs()

    private val lastRequest = AtomicReference<Request>()

    @Volatile
    private var faults = ServerFaults()

    /** Handles requests and the admin requests of the stand-in. */
    public val handler: HttpHandler = routeRequests(
        Route(Method.GET, "/wharf/load") { loadResponse() },
        Route(Method.GET, "/wharf/health") { Response(Status.OK).body("well\n") },
        Route(Method.GET, "/wharf/runs") { jsonResponse(StatusCode.OK, Json.encodeToString(counts.countRunsByKey())) },
        Route(Method.GET, "/wharf/total") { jsonResponse(StatusCode.OK, counts.totalJson()) },
        Route(Method.PUT, "/faults") { changeFaults(readServerFaults(it)) },
        Route(null, "/") { serve(it) },
    )

    /** Starts an HTTP server for this stand-in at [address]. */
    public fun start(address: SocketAddress): JettyServer =
        startJettyServer(HttpServerSettings(address), handler = handler)

    /** Replaces the active faults. */
    public fun changeFaults(next: ServerFaults): Response {
        faults = next
        return done()
    }

    private fun loadResponse(): Response {
        val isAccurate = !faults.isHealthMisreported
        val reportedInFlight = if (isAccurate) counts.inFlight else 0
        val isLeaving = isAccurate && faults.isLeaving
        return jsonResponse(StatusCode.OK, """{"inFlight":$reportedInFlight,"isLeaving":$isLeaving}""")
    }

    private fun serve(request: Request): Response {
        val current = faults
        val openNow = counts.startRequest()
        try {
            if (current.isRefusing || openNow > behaviour.slots * LOAD_SHEDDING_FACTOR) return refuse(request, current)
            return run(request, current)
        } finally {
            counts.endRequest()
        }
    }

    private fun refuse(request: Request, current: ServerFaults): Response =
        addLeavingHeader(Response(Status.SERVICE_UNAVAILABLE), current)
            .header(HeaderNames.ATTEMPT, request.header(HeaderNames.ATTEMPT).orEmpty())
            .header(HeaderNames.REFUSED, "true")
            .header(HeaderNames.RETRY_AFTER, "1")

    private fun run(request: Request, current: ServerFaults): Response {
        counts.recordRun(request.header(HeaderNames.IDEMPOTENCY_KEY))
        Thread.sleep(serviceMs() + current.delayMs)
        if (current.isSilent) Thread.sleep(NO_RESPONSE_DELAY_MS)
        val previous = lastRequest.getAndSet(request) ?: request
        return respond(if (current.isResponseSwapped) previous else request, current)
    }

    private fun respond(request: Request, current: ServerFaults): Response =
        addLeavingHeader(Response(Status.OK), current)
            .header("Content-Type", "text/plain")
            .header(HeaderNames.ATTEMPT, request.header(HeaderNames.ATTEMPT).orEmpty())
            .body(createBody(request))

    private fun addLeavingHeader(response: Response, current: ServerFaults): Response =
        if (current.isLeaving && !current.isHealthMisreported) {
            response.header(HeaderNames.LEAVING, "true")
        } else {
            response
        }

    private fun serviceMs(): Long {
        val isCold = clock.nowMs() - startedAtMs < behaviour.coldMs
        return if (isCold) behaviour.serviceMs * COLD_START_FACTOR else behaviour.serviceMs
    }

    private fun createBody(request: Request): String =
        "${behaviour.name} ${request.method} ${request.uri.path}\n".padEnd(behaviour.responseBytes, '.')
}
