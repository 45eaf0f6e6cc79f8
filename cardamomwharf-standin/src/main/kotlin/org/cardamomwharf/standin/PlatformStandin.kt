/*
 * Stands in for the platform: a transactional table service, an object store and the instance list, in memory.
 */
package org.cardamomwharf.standin

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.http.HttpServerSettings
import org.cardamomwharf.http.JettyServer
import org.cardamomwharf.http.Route
import org.cardamomwharf.http.jsonResponse
import org.cardamomwharf.http.routeRequests
import org.cardamomwharf.http.startJettyServer
import org.cardamomwharf.repository.PlatformInstance
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private const val LARGEST_OBJECT_BYTES = 134_217_728
private const val LOST_ANSWER_MS = 30_000L

/** Represents the stand-in with all that it stores. */
public class PlatformStandin(clock: Clock = monotonicClock()) {
    private val store = StandinStore(clock)
    private val instances = ConcurrentHashMap<String, PlatformInstance>()

    /** Reads since the start. */
    public val reads: AtomicLong = AtomicLong()

    /** Writes since the start. */
    public val writes: AtomicLong = AtomicLong()

    @Volatile
    private var faults = PlatformFaults()

    @Volatile
    private var staleList: String? = null

    /** Answers calls of the platform's protocol and the admin calls of the stand-in. */
    public val handler: HttpHandler = routeRequests(
        Route(Method.GET, "/tables/", faulty(store::readRow)),
        Route(Method.PUT, "/tables/", faulty(store::writeRow)),
        Route(Method.DELETE, "/tables/", faulty(store::expireRows)),
        Route(Method.GET, "/objects/", faulty(store::readObject)),
        Route(Method.PUT, "/objects/", faulty(store::writeObject)),
        Route(Method.GET, "/instances", faulty { jsonResponse(StatusCode.OK, staleList ?: listJson()) }),
        Route(Method.PUT, "/instances/") { register(it) },
        Route(Method.DELETE, "/instances/") { remove(it) },
        Route(Method.PUT, "/faults") { changeFaults(readPlatformFaults(it)) },
        Route(Method.GET, "/counts") { jsonResponse(StatusCode.OK, """{"reads":$reads,"writes":$writes}""") },
    )

    /** Returns a started server of this stand-in at [address]. */
    public fun start(address: SocketAddress): JettyServer =
        startJettyServer(HttpServerSettings(address, maxBodyBytes = LARGEST_OBJECT_BYTES), handler = handler)

    /** Adds the instances in [listJson] to the list. */
    public fun fillList(listJson: String) {
        Json.decodeFromString<List<PlatformInstance>>(listJson).forEach { instances[it.name] = it }
    }

    /** Replaces the faults. */
    public fun changeFaults(next: PlatformFaults): Response {
        staleList = if (next.isListStale) staleList ?: listJson() else null
        faults = next
        return done()
    }

    private fun faulty(inner: HttpHandler): HttpHandler = { request ->
        val current = faults
        if (current.delayMs > 0) Thread.sleep(current.delayMs)
        val isWrite = request.method == Method.PUT || request.method == Method.DELETE
        (if (isWrite) writes else reads).incrementAndGet()
        when {
            current.isDown -> Response(Status.SERVICE_UNAVAILABLE)
            isWrite && takeLostWrite() -> lose(inner, request)
            else -> inner(request)
        }
    }

    private fun takeLostWrite(): Boolean = synchronized(this) {
        val left = faults.lostWrites
        if (left > 0) faults = faults.copy(lostWrites = left - 1)
        left > 0
    }

    private fun lose(inner: HttpHandler, request: Request): Response {
        inner(request)
        Thread.sleep(LOST_ANSWER_MS)
        return Response(Status.GATEWAY_TIMEOUT)
    }

    private fun register(request: Request): Response {
        val instance = Json.decodeFromString<PlatformInstance>(request.bodyString())
        instances[instance.name] = instance
        return done()
    }

    private fun remove(request: Request): Response {
        instances.remove(request.uri.path.substringAfterLast('/'))
        return done()
    }

    private fun listJson(): String = Json.encodeToString(instances.values.sortedBy { it.name })
}
