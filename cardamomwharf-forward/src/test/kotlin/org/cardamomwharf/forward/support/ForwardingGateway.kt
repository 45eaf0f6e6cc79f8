/*
 * The caller port of a gateway for tests: listener, steering and pool as in the real process, in front of scripted
 * backend servers.
 */
package org.cardamomwharf.forward.support

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.forward.bodies.BodyBudget
import org.cardamomwharf.forward.bodies.createBodyBudget
import org.cardamomwharf.forward.listener.AsyncHttpServerSettings
import org.cardamomwharf.forward.listener.HttpListener
import org.cardamomwharf.forward.listener.createAsyncHttpServer
import org.cardamomwharf.forward.listener.startHttpThreads
import org.cardamomwharf.forward.proxy.ForwardingContext
import org.cardamomwharf.forward.proxy.RequestTrace
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.forward.proxy.createForwardingHandler
import org.cardamomwharf.forward.server.ConnectionPoolSettings
import org.cardamomwharf.forward.server.startConnectionPool
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.ServiceTerms
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TransferKind
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.hedging.HedgingParameters
import org.cardamomwharf.steering.limits.RetryBudgetParameters
import org.cardamomwharf.steering.requests.StopPlan
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.store.TableChange
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue

private const val HOST = "127.0.0.1"
private const val CALLERS = "callers"
private const val SLOW_BUFFER_BYTES = 4_096
private const val TIMEOUT_MS = 20_000
private const val ROUTE_TIMEOUT_MS = 10_000L
private const val BUDGET_HEAP_BYTES = 100_663_296L
private const val BODY_BYTES = 1_048_576L
private val service = ServiceName("reads")
private val zone = ZoneName("z")

/** The shortest field; most writers add a space. */
private const val EMPTY_FIELD = "c:\r\n"

/**
 * Forwards requests of callers to the servers at [servers]: for the paths /r/, which transfer what [transfer] names,
 * /small/, /once/, which may run only once, and /open/, which needs no key.
 *
 * @param teams teams of the callers, or null before the first configuration.
 */
internal class ForwardingGateway(
    vararg servers: SocketAddress,
    teams: List<Team>? = emptyList(),
    budget: BodyBudget = createBodyBudget(BUDGET_HEAP_BYTES),
    private val transfer: TransferKind = TransferKind.SMALL,
    sendBufferBytes: Int = -1,
    hedging: HedgingParameters = HedgingParameters(),
) : AutoCloseable {
    private val clock = monotonicClock()
    private val steering = Steering(
        InstanceLocation(InstanceName("i"), zone, mapOf(zone to RegionName("r"))),
        SteeringParameters(
            RetryBudgetParameters(ratio = 0.2, allowance = 10, windowMs = 10_000),
            hedging = hedging,
        ),
    )
    private val settings = AsyncHttpServerSettings(sendBufferBytes = sendBufferBytes)

    /** Traces of completed requests. */
    val traces = LinkedBlockingQueue<RequestTrace>()
    private val threads = startHttpThreads(settings)
    private val pool = startConnectionPool(ConnectionPoolSettings(), threads.executor, clock, budget)
    private val context =
        ForwardingContext(SynchronizedSteering(steering, clock), pool, threads.scheduler, clock) { traces.add(it) }
    private val listener = HttpListener(CALLERS, SocketAddress(HOST, 0), createForwardingHandler(context))
    private val http = createAsyncHttpServer(settings, threads, listOf(listener))

    init {
        teams?.let { steering.routes.adopt(createDesiredState(it)) }
        val changes = servers.mapIndexed { index, address ->
            val name = "server-000$index"
            TableChange(name, 1, null, ServerRecord(ServerName(name), service, address, zone, 64, false, 1, 0))
        }
        steering.setLiveInstances(emptyMap(), clock.nowMs())
        steering.applyServers(changes, clock.nowMs())
        http.start()
    }

    private fun createDesiredState(teams: List<Team>): DesiredState {
        val parts = listOf(WeightedService(service, 1.0))
        val small =
            Route("small", "h", "/small/", true, parts, ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS, 1, 2, true, emptySet())
        val routes = listOf(
            small.copy(
                name = "r",
                prefix = "/r/",
                isIdempotent = transfer != TransferKind.UPLOAD,
                transfer = transfer,
            ),
            small,
            small.copy(name = "open", prefix = "/open/", isPublic = true),
            small.copy(name = "once", prefix = "/once/", isIdempotent = false),
        )
        val terms = ServiceTerms(service, "/health", 10, 0, 1.0)
        val limits = CallerLimits(settings.maxHeadBytes, BODY_BYTES, ROUTE_TIMEOUT_MS, settings.idleTimeoutMs)
        return DesiredState(DocumentVersion(1), routes, mapOf(service to terms), limits, teams)
    }

    /** Limits heads as the configuration of an operator does. */
    fun setMaxHeadBytes(maxHeadBytes: Int) = http.setMaxHeadBytes(CALLERS, maxHeadBytes)

    /** Begins a graceful stop, which ends after all requests of the test. */
    fun beginStop() = context.beginStop(StopPlan(Long.MAX_VALUE, Long.MAX_VALUE))

    /** Closes idle connections as a graceful stop does. */
    fun closeIdleConnections() = http.closeIdleConnections(CALLERS)

    /** Opens a connection of a caller that buffers few bytes of a response. */
    fun connectSlow(): Socket = Socket().apply {
        soTimeout = TIMEOUT_MS
        receiveBufferSize = SLOW_BUFFER_BYTES
        connect(InetSocketAddress(HOST, http.getPort(CALLERS)))
    }

    /** Opens a connection of a caller. */
    fun connect(): Socket = Socket(HOST, http.getPort(CALLERS)).apply { soTimeout = TIMEOUT_MS }

    /** Sends [text] on a connection of its own and returns what arrives until the gateway closes it. */
    fun exchange(text: String): String = connect().use { socket ->
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getInputStream().readAllBytes().toString(Charsets.ISO_8859_1)
    }

    override fun close() {
        pool.close() // Its selector occupies one of the threads that the server stops.
        http.stop()
    }
}

/** Returns the head of a request whose size is [bytes], filled up with fields of [fieldBytes] bytes. */
internal fun requestHead(bytes: Int, fieldBytes: Int = bytes, id: String = "a"): String {
    val start = "GET /r/x HTTP/1.1\r\nHost:h\r\nX-Request-Id:$id\r\nConnection:close\r\n"
    return start + fillFields(bytes - start.length - 2, fieldBytes) + "\r\n"
}

/** Returns fields of [bytes] bytes in sum, of [fieldBytes] bytes each but for the last one. */
internal fun fillFields(bytes: Int, fieldBytes: Int): String = buildString {
    while (length < bytes) {
        val left = bytes - length
        val size = if (left - fieldBytes < EMPTY_FIELD.length) left else fieldBytes
        append(EMPTY_FIELD.replace(":", ":" + "x".repeat(size - EMPTY_FIELD.length)))
    }
}
