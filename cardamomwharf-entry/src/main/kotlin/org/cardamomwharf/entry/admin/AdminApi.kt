/*
 * HTTP API for operators and the platform, served on a separate address.
 */
package org.cardamomwharf.entry.admin

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.entry.documents.DocumentManager
import org.cardamomwharf.entry.loop.DecisionLoop
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.http.Route
import org.cardamomwharf.http.jsonResponse
import org.cardamomwharf.http.routeRequests
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

private const val MAX_DECISION_GAP_MS = 2_000L

/** Handles requests of operators and the platform. */
public class AdminApi(
    private val decisionLoop: DecisionLoop,
    private val eventQueue: EventQueue,
    private val documentManager: DocumentManager,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    /** The HTTP handler of the API. */
    public val handler: HttpHandler = routeRequests(
        Route(Method.GET, "/health") { health() },
        Route(Method.GET, "/ready") { ready() },
        Route(Method.GET, "/metrics") { Response(Status.OK).body(metrics.write(decisionLoop.snapshot, clock.nowMs())) },
        Route(Method.GET, "/status") { jsonResponse(StatusCode.OK, Json.encodeToString(status())) },
        Route(Method.GET, "/explain", ::explain),
        Route(Method.POST, "/leave") { leave() },
    )

    private fun health(): Response {
        val snapshotAgeMs = clock.nowMs() - decisionLoop.snapshot.takenAtMs
        return if (snapshotAgeMs < MAX_DECISION_GAP_MS) {
            Response(Status.OK).body("well\n")
        } else {
            Response(Status.SERVICE_UNAVAILABLE).body("no decision for $snapshotAgeMs ms\n")
        }
    }

    private fun ready(): Response {
        val status = status()
        val isReady = status.documentVersion > 0 && !status.isJoining && !status.isLeaving
        return Response(if (isReady) Status.OK else Status.SERVICE_UNAVAILABLE).body("ready: $isReady\n")
    }

    private fun status(): StatusReport = createStatusReport(decisionLoop.snapshot, clock.nowMs())

    private fun explain(request: Request): Response {
        val view = decisionLoop.snapshot.view
        val service = view?.index?.services?.get(ServiceName(request.query("service").orEmpty()))
        val address = request.query("client").orEmpty()
        val zone = documentManager.findZone(address)
        if (view == null || service == null || zone == null) {
            return Response(Status.NOT_FOUND).body("no document, service or client block\n")
        }
        return jsonResponse(StatusCode.OK, Json.encodeToString(explain(view, service, zone, address)))
    }

    private fun leave(): Response {
        eventQueue.put(EntryEvent.LeaveRequested)
        return Response(Status.OK).body("leaving\n")
    }
}
