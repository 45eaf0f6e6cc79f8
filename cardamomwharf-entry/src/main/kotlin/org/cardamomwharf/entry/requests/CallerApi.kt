/*
 * What callers ask an entry instance: look-ups, which are answered from the published view alone, and requests, which
 * go through the decisions.
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
import org.cardamomwharf.entry.documents.DocumentKeeper
import org.cardamomwharf.entry.loop.DecisionLoop
import org.cardamomwharf.entry.loop.EventRing
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

private const val CLIENT_FIELD = "Wharf-Client"
private const val ANSWER_MARGIN_MS = 2_000L

/** Represents the API for callers. */
public class CallerApi(
    private val settings: EntrySettings,
    private val loop: DecisionLoop,
    private val ring: EventRing,
    private val book: RequestBook,
    private val keeper: DocumentKeeper,
    private val tools: CallerTools,
) {
    /** Answers look-ups and requests. */
    public val handler: HttpHandler = routeRequests(
        Route(Method.GET, "/lookup", ::lookUp),
        Route(null, RUN_PREFIX, ::run),
    )

    private fun lookUp(request: Request): Response {
        val view = loop.snapshot.view
        val service = view?.index?.services?.get(ServiceName(request.query("service").orEmpty()))
        val address = request.query("client") ?: clientAddress(request)
        val zone = keeper.findZone(address)
        return when {
            view == null -> refuse(Reason.NO_DOCUMENT)
            service == null -> refuse(Reason.UNKNOWN_SERVICE)
            zone == null -> refuse(Reason.UNKNOWN_CLIENT)
            else -> {
                val ranked = view.rank(service, zone, address).map { it.candidate.member }
                val instances = ranked.map { RankedInstance(it.name, it.incarnation, it.zone, it.callerAddress) }
                tools.metrics.countLookup(service.name)
                answer(LookupResponse(service.name, view.version, service.cacheTtlMs, instances))
            }
        }
    }

    private fun answer(found: LookupResponse): Response = jsonResponse(StatusCode.OK, Json.encodeToString(found))

    private fun run(request: Request): Response =
        parseRequest(request, settings.times).mapBoth(
            success = { submit(it, keeper.findZone(clientAddress(request))) },
            failure = { refuse(it) },
        )

    private fun submit(parsed: CallerRequest, clientZone: ZoneName?): Response {
        val startedAtMs = tools.clock.nowMs()
        val spec = specOf(parsed, clientZone, startedAtMs)
        val future = CompletableFuture<Response>()
        val receiver = AnswerReceiver { answer, ran -> future.complete(responseOf(answer, ran, settings.name)) }
        book.add(BookedRequest(spec, parsed.handed, receiver))
        if (!ring.offerRequest(EntryEvent.RequestArrived(spec))) {
            book.remove(spec.id)
            return refuse(Reason.RING_FULL)
        }
        val response = await(future, parsed.deadlineMs)
        tools.metrics.observe(parsed.service, tools.clock.nowMs() - startedAtMs)
        return response
    }

    private fun specOf(parsed: CallerRequest, clientZone: ZoneName?, nowMs: Long): RequestSpec {
        val service = loop.snapshot.view?.index?.services?.get(parsed.service)
        return RequestSpec(
            id = book.newId(),
            service = parsed.service,
            origin = RequestOrigin.CALLER,
            isIdempotent = parsed.isSafeMethod || service?.isIdempotent == true,
            requestBytes = parsed.handed.body.size.toLong(),
            deadlineAtMs = nowMs + parsed.deadlineMs,
            clientZone = clientZone,
            key = parsed.identity.key,
            binding = parsed.identity.binding,
            fingerprint = parsed.handed.fingerprint,
        )
    }

    private fun await(future: CompletableFuture<Response>, deadlineMs: Long): Response =
        try {
            future.get(deadlineMs + ANSWER_MARGIN_MS, TimeUnit.MILLISECONDS)
        } catch (@Suppress("SwallowedException") e: TimeoutException) {
            refuse(Reason.INTERNAL_ERROR)
        }

    private fun clientAddress(request: Request): String {
        val named = if (settings.isClientHeaderTrusted) request.header(CLIENT_FIELD) else null
        return named ?: request.source?.address.orEmpty()
    }

    private fun refuse(reason: Reason): Response {
        tools.metrics.countRefusal(reason)
        return refusalOf(reason, settings.name)
    }
}

/** Represents the clock and the metrics that the API uses. */
public class CallerTools(public val clock: Clock, public val metrics: EntryMetrics)
