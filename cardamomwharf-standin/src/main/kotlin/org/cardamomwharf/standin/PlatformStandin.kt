/*
 * An in-memory stand-in for the platform: a transactional table service, an object store and the instance list.
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

private const val MAX_OBJECT_BYTES = 134_217_728
private const val LOST_RESPONSE_DELAY_MS = 30_000L

/** Serves the platform protocol from memory. */
public class PlatformStandin(clock: Clock = monotonicClock()) {
    private val store = StandinStore(clock)
    private val instances = ConcurrentHashMap<String, PlatformInstance>()

    /** The number of reads since the start. */
    public val reads: AtomicLong = AtomicLong()

    /** The number of writes since the start. */
    public val writes: AtomicLong = AtomicLong()

    @Volatile
    private var faults = PlatformFaults()

    @Volatile
    private var frozenList: String? = null

    /** Handles the platform protocol and the admin requests of the stand-in. */
    public val handler: HttpHandler = routeRequests(
        Route(Method.GET, "/tables/", withFaults(store::readRow)),
        Route(Method.PUT, "/tables/", withFaults(store::writeRow)),
        Route(Method.DELETE, "/tables/", withFaults(store::expireRows)),
        Route(Method.GET, "/objects/", withFaults(store::readObject)),
        Route(Method.PUT, "/objects/", withFaults(store::writeObject)),
        Route(Method.GET, "/instances", withFaults { jsonResponse(StatusCode.OK, frozenList ?: listJson()) }),
        Route(Method.PUT, "/instances/") { register(it) },
        Route(Method.DELETE, "/instances/") { remove(it) },
        Route(Method.PUT, "/faults") { changeFaults(readPlatformFaults(it)) },
        Route(Method.GET, "/counts") { jsonResponse(StatusCode.OK, """{"reads":$reads,"writes":$writes}""") },
    )

    /** Starts an HTTP server for this stand-in at [address]. */
    public fun start(address: SocketAddress): JettyServer =
        startJettyServer(HttpServerSettings(address, maxBodyBytes = MAX_OBJECT_BYTES), handler = handler)

    /** Adds the instances in [listJson], a JSON array, to the instance list. */
    public fun addInstances(listJson: String) {
        Json.decodeFromString<List<PlatformInstance>>(listJson).forEach { instances[it.name] = it }
    }

    /** Replaces the active faults. */
    public fun changeFaults(next: PlatformFaults): Response {
        frozenList = if (next.isListStale) frozenList ?: listJson() else null
        faults = next
        return done()
    }

    private fun withFaults(inner: HttpHandler): HttpHandler = { request ->
        val current = faults
        if (current.delayMs > 0) Thread.sleep(current.delayMs)
        val isWrite = request.method == Method.PUT || request.method == Method.DELETE
        (if (isWrite) writes else reads).incrementAndGet()
        when {
            current.isDown -> Response(Status.SERVICE_UNAVAILABLE)
            isWrite && consumeLostWrite() -> runAndLoseResponse(inner, request)
            else -> inner(request)
        }
    }

    private fun consumeLostWrite(): Boolean = synchronized(this) {
        val remaining = faults.lostWrites
        if (remaining > 0) faults = faults.copy(lostWrites = remaining - 1)
        remaining > 0
    }

    private fun runAndLoseResponse(inner: HttpHandler, request: Request): Response {
        inner(request)
        Thread.sleep(LOST_RESPONSE_DELAY_MS)
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
