/*
 * The server for callers on Jetty. Its threads never wait: a request is handed on at once and answered later.
 */
package org.cardamomwharf.forward.listener

import org.cardamomwharf.core.SocketAddress
import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.io.ArrayByteBufferPool
import org.eclipse.jetty.io.ByteBufferPool
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler
import org.eclipse.jetty.util.thread.Scheduler
import java.util.concurrent.Executor

/** Sizes of pooled buffers are multiples of this. */
private const val BUFFER_STEP_BYTES = 4_096
private const val LARGEST_POOLED_BYTES = 65_536
private const val BUFFERS_PER_SIZE = 64
private const val LARGEST_POOL_BYTES = 4_194_304L

/** Represents one listening address and what answers there. */
public data class HttpListener(
    public val name: String,
    public val address: SocketAddress,
    public val handler: AsyncHandler,
)

/** Answers requests without blocking. */
public fun interface AsyncHandler {
    /** Answers [request] now or later and completes [callback] then. */
    public fun handle(request: Request, response: Response, callback: Callback)
}

/**
 * Represents the limits of the server.
 *
 * @param maxHeadBytes largest head of a request until the configuration names one.
 * @param idleTimeoutMs time after which an unused connection is closed, until the configuration names one.
 */
public data class AsyncHttpServerSettings(
    public val maxHeadBytes: Int = 16_384,
    public val idleTimeoutMs: Long = 60_000,
    public val acceptQueueSize: Int = 512,
    public val maxThreads: Int = 12,
)

/** Represents the server and its listeners. */
public class AsyncHttpServer internal constructor(
    private val server: Server,
    private val threads: QueuedThreadPool,
    settings: AsyncHttpServerSettings,
    listeners: List<HttpListener>,
) {
    private val connectors = listeners.associate { it.name to connectorOf(server, settings, it) }

    init {
        connectors.values.forEach { server.addConnector(it) }
        server.handler = ListenerHandler(listeners.associate { it.name to it.handler })
    }

    /** Starts to take connections. */
    public fun start() {
        server.start()
    }

    /** Returns the port of the listener [name]. */
    public fun getPort(name: String): Int = connectors.getValue(name).localPort

    /** Sets the time after which unused connections of the listener [name] are closed. */
    public fun setIdleTimeout(name: String, idleTimeoutMs: Long) {
        connectors.getValue(name).idleTimeout = idleTimeoutMs
    }

    /** Stops taking connections at the listener [name]; open ones and those that the system had queued go on. */
    public fun closeListener(name: String) {
        connectors.getValue(name).close()
    }

    /** Returns the number of connections of the listener [name] that are open or about to be. */
    public fun countConnections(name: String): Int = connectors.getValue(name).connectionCount

    /** Closes the connections of the listener [name] that carry no request, nor a part of one. */
    public fun closeIdleConnections(name: String) {
        connectors.getValue(name).closeIdleConnections()
    }

    /** Stops the server; what is still open is cut off. */
    public fun stop() {
        server.stopTimeout = 0
        server.stop()
        threads.stop()
    }
}

/** Represents the threads and the timer that the server shares with the connections to backend servers. */
public class HttpThreads internal constructor(internal val pool: QueuedThreadPool, public val scheduler: Scheduler) {
    /** Runs tasks. */
    public val executor: Executor get() = pool
}

/** Returns started threads. */
public fun startHttpThreads(settings: AsyncHttpServerSettings): HttpThreads {
    val pool = QueuedThreadPool(settings.maxThreads, 2)
    pool.name = "front"
    pool.reservedThreads = 0
    val scheduler = ScheduledExecutorScheduler("front-timer", true)
    pool.start()
    scheduler.start()
    return HttpThreads(pool, scheduler)
}

/** Returns a server with [listeners] that takes no connections yet. */
public fun createAsyncHttpServer(
    settings: AsyncHttpServerSettings,
    threads: HttpThreads,
    listeners: List<HttpListener>,
): AsyncHttpServer =
    AsyncHttpServer(Server(threads.pool, threads.scheduler, heapBuffers()), threads.pool, settings, listeners)

/** Returns a small pool of buffers on the heap; buffers outside it would be freed only by full collections. */
private fun heapBuffers(): ByteBufferPool =
    ArrayByteBufferPool(0, BUFFER_STEP_BYTES, LARGEST_POOLED_BYTES, BUFFERS_PER_SIZE, LARGEST_POOL_BYTES, 0)

private fun connectorOf(server: Server, settings: AsyncHttpServerSettings, listener: HttpListener): WatchingConnector {
    val configuration = HttpConfiguration().apply {
        requestHeaderSize = settings.maxHeadBytes
        sendServerVersion = false
        sendDateHeader = false
        headerCacheSize = 0 // The cache takes about 50 KB for each connection.
        isUseInputDirectByteBuffers = false
        isUseOutputDirectByteBuffers = false
        httpCompliance = HttpCompliance.RFC9110
        uriCompliance = UriCompliance.UNSAFE
    }
    return WatchingConnector(server, HttpConnectionFactory(configuration)).apply {
        name = listener.name
        host = listener.address.host
        port = listener.address.port
        idleTimeout = settings.idleTimeoutMs
        acceptQueueSize = settings.acceptQueueSize
        reuseAddress = true
    }
}

/** Gives each request to the handler of its listener, on the thread that read it. */
private class ListenerHandler(private val handlers: Map<String, AsyncHandler>) : Handler.Abstract.NonBlocking() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val handler = handlers.getValue(request.connectionMetaData.connector.name)
        handler.handle(request, response, callback)
        return true
    }
}
