/*
 * HTTP API for callers: look-ups, which are answered from the published view alone, and requests, which are submitted
 * to the decision loop.
 */
package org.cardamomwharf.entry.requests

import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.lookup.LookupResponse
import org.cardamomwharf.decision.lookup.RankedInstance
import org.cardamomwharf.decision.lookup.rank
import org.cardamomwharf.decision.requests.RequestOrigin
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.entry.documents.DocumentManager
import org.cardamomwharf.entry.loop.DecisionLoop
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.entry.settings.EntrySettings
import org.cardamomwharf.http.Route
import org.cardamomwharf.http.jsonResponse
import org.cardamomwharf.http.routeRequests
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private const val CLIENT_HEADER = "Wharf-Client"
private const val RESPONSE_MARGIN_MS = 2_000L

/** Handles look-ups and requests of callers. */
public class CallerApi(
    private val settings: EntrySettings,
    private val decisionLoop: DecisionLoop,
    private val eventQueue: EventQueue,
    private val requestRegistry: RequestRegistry,
    private val documentManager: DocumentManager,
    private val context: CallerApiContext,
) {
    /** The HTTP handler of the API. */
    public val handler: HttpHandler = routeRequests(
        Route(Method.GET, "/lookup", ::handleLookup),
        Route(null, RUN_PREFIX, ::handleRequest),
    )

    private fun handleLookup(request: Request): Response {
        val view = decisionLoop.snapshot.view
        val service = view?.index?.services?.get(ServiceName(request.query("service").orEmpty()))
        val address = request.query("client") ?: clientAddress(request)
        val zone = documentManager.findZone(address)
        return when {
            view == null -> refuse(Reason.NO_DOCUMENT)
            service == null -> refuse(Reason.UNKNOWN_SERVICE)
            zone == null -> refuse(Reason.UNKNOWN_CLIENT)
            else -> {
                val ranked = view.rank(service, zone, address).map { it.candidate.member }
                val instances = ranked.map { RankedInstance(it.name, it.incarnation, it.zone, it.callerAddress) }
                context.metrics.countLookup(service.name)
                writeLookup(LookupResponse(service.name, view.version, service.cacheTtlMs, instances))
            }
        }
    }

    private fun writeLookup(lookup: LookupResponse): Response = jsonResponse(StatusCode.OK, Json.encodeToString(lookup))

    private fun handleRequest(request: Request): Response =
        parseRequest(request, settings.times).mapBoth(
            success = { submit(it, documentManager.findZone(clientAddress(request))) },
            failure = { refuse(it) },
        )

    private fun submit(parsed: CallerRequest, clientZone: ZoneName?): Response {
        val startedAtMs = context.clock.nowMs()
        val spec = createSpec(parsed, clientZone, startedAtMs)
        val future = CompletableFuture<Response>()
        val receiver = ResponseReceiver { effect, serverResponse ->
            future.complete(buildResponse(effect, serverResponse, settings.name))
        }
        requestRegistry.add(RegisteredRequest(spec, parsed.forwardedRequest, receiver))
        if (!eventQueue.offerRequest(EntryEvent.RequestArrived(spec))) {
            requestRegistry.remove(spec.id)
            return refuse(Reason.RING_FULL)
        }
        val response = awaitResponse(future, parsed.deadlineMs)
        context.metrics.observeLatency(parsed.service, context.clock.nowMs() - startedAtMs)
        return response
    }

    private fun createSpec(parsed: CallerRequest, clientZone: ZoneName?, nowMs: Long): RequestSpec {
        val service = decisionLoop.snapshot.view?.index?.services?.get(parsed.service)
        return RequestSpec(
            id = requestRegistry.newId(),
            service = parsed.service,
            origin = RequestOrigin.CALLER,
            isIdempotent = parsed.isSafeMethod || service?.isIdempotent == true,
            requestBytes = parsed.forwardedRequest.body.size.toLong(),
            deadlineAtMs = nowMs + parsed.deadlineMs,
            clientZone = clientZone,
            key = parsed.identity.key,
            binding = parsed.identity.binding,
            fingerprint = parsed.forwardedRequest.fingerprint,
        )
    }

    private fun awaitResponse(future: CompletableFuture<Response>, deadlineMs: Long): Response =
        try {
            future.get(deadlineMs + RESPONSE_MARGIN_MS, TimeUnit.MILLISECONDS)
        } catch (@Suppress("SwallowedException") e: TimeoutException) {
            refuse(Reason.INTERNAL_ERROR)
        }

    private fun clientAddress(request: Request): String {
        val headerAddress = if (settings.isClientHeaderTrusted) request.header(CLIENT_HEADER) else null
        return headerAddress ?: request.source?.address.orEmpty()
    }

    private fun refuse(reason: Reason): Response {
        context.metrics.countRefusal(reason)
        return buildRefusal(reason, settings.name)
    }
}

/** Holds the clock and the metrics that the API uses. */
public class CallerApiContext(public val clock: Clock, public val metrics: EntryMetrics)
