/*
 * HTTP server on Jetty with named listeners. Its threads never block: handlers respond asynchronously.
 */
package org.cardamomwharf.forward.listener

import org.cardamomwharf.core.SocketAddress
import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.io.ArrayByteBufferPool
import org.eclipse.jetty.io.ByteBufferPool
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler
import org.eclipse.jetty.util.thread.Scheduler
import java.util.concurrent.Executor

/** Increment between the sizes of pooled buffers. */
private const val BUFFER_STEP_BYTES = 4_096
private const val MAX_POOLED_BUFFER_BYTES = 65_536
private const val BUFFERS_PER_SIZE = 64
private const val MAX_POOL_BYTES = 4_194_304L

/** Represents a listening address and its handler. */
public data class HttpListener(
    public val name: String,
    public val address: SocketAddress,
    public val handler: AsyncHandler,
)

/** Handles requests without blocking. */
public fun interface AsyncHandler {
    /** Handles [request] and completes [callback] once the response is written, possibly later on another thread. */
    public fun handle(request: Request, response: Response, callback: Callback)
}

/**
 * Handles some requests before their turn: while an earlier request on the same connection is pending. Such a request
 * has a safe method and no body, and its response is sent in its turn.
 */
public interface LookAheadHandler : AsyncHandler {
    /** Returns true if [request] may be handled before its turn. */
    public fun mayHandleAhead(request: Request): Boolean

    /** Returns true if requests behind [request] may be handled while it is pending. */
    public fun mayBeOvertaken(request: Request): Boolean
}

/**
 * Represents the settings of the server.
 *
 * @param maxHeadBytes maximum size of a request head until the configuration sets one.
 * @param idleTimeoutMs time after which an idle connection is closed, until the configuration sets one.
 * @param sendBufferBytes size of the system's send buffer of a connection; negative when the system chooses it.
 */
public data class AsyncHttpServerSettings(
    public val maxHeadBytes: Int = 16_384,
    public val idleTimeoutMs: Long = 60_000,
    public val acceptQueueSize: Int = 512,
    public val maxThreads: Int = 12,
    public val sendBufferBytes: Int = -1,
)

/** Represents the server and its listeners. */
public class AsyncHttpServer internal constructor(
    private val server: Server,
    private val threads: QueuedThreadPool,
    settings: AsyncHttpServerSettings,
    listeners: List<HttpListener>,
) {
    private val connectors = listeners.associate { it.name to createConnector(server, settings, it) }

    init {
        connectors.values.forEach { server.addConnector(it) }
        server.handler = ListenerHandler(listeners.associate { it.name to it.handler })
    }

    /** Starts all listeners. */
    public fun start() {
        server.start()
    }

    /** Returns the port of the listener [name]. */
    public fun getPort(name: String): Int = connectors.getValue(name).localPort

    /** Sets the time after which idle connections of the listener [name] are closed. */
    public fun setIdleTimeout(name: String, idleTimeoutMs: Long) {
        connectors.getValue(name).idleTimeout = idleTimeoutMs
    }

    /** Sets the maximum size of a request head on connections of the listener [name] that are opened from now on. */
    public fun setMaxHeadBytes(name: String, maxHeadBytes: Int) {
        connectors.getValue(name).setMaxHeadBytes(maxHeadBytes)
    }

    /** Closes the listener [name]; open connections and those in the accept queue are still served. */
    public fun closeListener(name: String) {
        connectors.getValue(name).close()
    }

    /** Returns the number of connections of the listener [name] that are open or being opened. */
    public fun countConnections(name: String): Int = connectors.getValue(name).connectionCount

    /** Closes the connections of the listener [name] that carry no request and no part of one; returns their number. */
    public fun closeIdleConnections(name: String): Int = connectors.getValue(name).closeIdleConnections()

    /** Stops the server and closes all connections immediately. */
    public fun stop() {
        server.stopTimeout = 0
        server.stop()
        threads.stop()
    }
}

/** Holds the threads and the scheduler that the server shares with the connections to backend servers. */
public class HttpThreads internal constructor(internal val pool: QueuedThreadPool, public val scheduler: Scheduler) {
    /** Executor that runs tasks on the shared threads. */
    public val executor: Executor get() = pool
}

/** Starts the threads and the scheduler. */
public fun startHttpThreads(settings: AsyncHttpServerSettings): HttpThreads {
    val pool = QueuedThreadPool(settings.maxThreads, 2)
    pool.name = "front"
    pool.reservedThreads = 0
    val scheduler = ScheduledExecutorScheduler("front-timer", true)
    pool.start()
    scheduler.start()
    return HttpThreads(pool, scheduler)
}

/** Returns a server with [listeners] that hasn't been started. */
public fun createAsyncHttpServer(
    settings: AsyncHttpServerSettings,
    threads: HttpThreads,
    listeners: List<HttpListener>,
): AsyncHttpServer =
    AsyncHttpServer(Server(threads.pool, threads.scheduler, createBufferPool()), threads.pool, settings, listeners)

/** Returns a small pool of heap buffers; direct buffers would be freed only by full garbage collections. */
private fun createBufferPool(): ByteBufferPool =
    ArrayByteBufferPool(0, BUFFER_STEP_BYTES, MAX_POOLED_BUFFER_BYTES, BUFFERS_PER_SIZE, MAX_POOL_BYTES, 0)

private fun createConnector(
    server: Server,
    settings: AsyncHttpServerSettings,
    listener: HttpListener,
): GracefulCloseConnector {
    val configuration = HttpConfiguration().apply {
        requestHeaderSize = settings.maxHeadBytes
        sendServerVersion = false
        sendDateHeader = false
        headerCacheSize = 0 // The cache takes about 50 KB per connection.
        isUseInputDirectByteBuffers = false
        isUseOutputDirectByteBuffers = false
        httpCompliance = HttpCompliance.RFC9110
        uriCompliance = UriCompliance.UNSAFE
    }
    return GracefulCloseConnector(server, configuration).apply {
        name = listener.name
        host = listener.address.host
        port = listener.address.port
        idleTimeout = settings.idleTimeoutMs
        acceptQueueSize = settings.acceptQueueSize
        acceptedSendBufferSize = settings.sendBufferBytes
        reuseAddress = true
    }
}

/** Dispatches each request to the handler of its listener, on the thread that read it. */
private class ListenerHandler(private val handlers: Map<String, AsyncHandler>) : Handler.Abstract.NonBlocking() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val handler = handlers.getValue(request.connectionMetaData.connector.name)
        val endPoint = request.connectionMetaData.connection.endPoint
        if (handler is LookAheadHandler && endPoint is CallerEndPoint) {
            handleInTurn(handler, endPoint, response, callback)
        } else {
            handler.handle(request, response, callback)
        }
        return true
    }

    private fun handleInTurn(
        handler: LookAheadHandler,
        endPoint: CallerEndPoint,
        response: Response,
        callback: Callback,
    ) {
        val request = response.request
        val started = endPoint.ahead.take(request)
        if (started == null) {
            handler.handle(request, response, callback)
        } else {
            started.deliver(endPoint, response, callback)
        }
        endPoint.startAhead(PendingExchange(handler, response))
    }
}
