/*
 * What operators and the platform ask an entry instance, on an address of its own.
 */
package org.cardamomwharf.entry.admin

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.entry.documents.DocumentKeeper
import org.cardamomwharf.entry.loop.DecisionLoop
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.http.Route
import org.cardamomwharf.http.jsonResponse
import org.cardamomwharf.http.routeRequests
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

private const val LARGEST_SILENCE_MS = 2_000L

/** Represents the API for operators. */
public class AdminApi(
    private val loop: DecisionLoop,
    private val ring: EventRing,
    private val keeper: DocumentKeeper,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    /** Answers the calls of operators. */
    public val handler: HttpHandler = routeRequests(
        Route(Method.GET, "/health") { health() },
        Route(Method.GET, "/ready") { ready() },
        Route(Method.GET, "/metrics") { Response(Status.OK).body(metrics.write(loop.snapshot, clock.nowMs())) },
        Route(Method.GET, "/status") { jsonResponse(StatusCode.OK, Json.encodeToString(status())) },
        Route(Method.GET, "/explain", ::explain),
        Route(Method.POST, "/leave") { leave() },
    )

    private fun health(): Response {
        val silentMs = clock.nowMs() - loop.snapshot.takenAtMs
        return if (silentMs < LARGEST_SILENCE_MS) {
            Response(Status.OK).body("well\n")
        } else {
            Response(Status.SERVICE_UNAVAILABLE).body("no decision for $silentMs ms\n")
        }
    }

    private fun ready(): Response {
        val status = status()
        val isReady = status.documentVersion > 0 && !status.isJoining && !status.isLeaving
        return Response(if (isReady) Status.OK else Status.SERVICE_UNAVAILABLE).body("ready: $isReady\n")
    }

    private fun status(): StatusReport = statusOf(loop.snapshot, clock.nowMs())

    private fun explain(request: Request): Response {
        val view = loop.snapshot.view
        val service = view?.index?.services?.get(ServiceName(request.query("service").orEmpty()))
        val address = request.query("client").orEmpty()
        val zone = keeper.findZone(address)
        if (view == null || service == null || zone == null) {
            return Response(Status.NOT_FOUND).body("no document, service or client block\n")
        }
        return jsonResponse(StatusCode.OK, Json.encodeToString(explain(view, service, zone, address)))
    }

    private fun leave(): Response {
        ring.put(EntryEvent.LeaveRequested)
        return Response(Status.OK).body("leaving\n")
    }
}
