/*
 * The server for callers on Jetty. Its threads never wait: a request is handed on at once and answered later.
 */
package org.cardamomwharf.forward.front

import org.cardamomwharf.core.SocketAddress
import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.io.ByteBufferPool
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.Executor

/** Represents one listening address and what answers there. */
public data class FrontListener(
    public val name: String,
    public val address: SocketAddress,
    public val isWatched: Boolean,
    public val handler: FrontHandler,
)

/** Answers requests without blocking. */
public fun interface FrontHandler {
    /** Answers [request] now or later and completes [callback] then. */
    public fun handle(request: Request, response: Response, callback: Callback)
}

/**
 * Represents the limits of the server.
 *
 * @param headBytes largest head of a request until the desired state names one.
 * @param idleMs time after which an unused connection is closed, until the desired state names one.
 */
public data class FrontSettings(
    public val headBytes: Int = 16_384,
    public val idleMs: Long = 60_000,
    public val acceptQueue: Int = 512,
    public val largestThreads: Int = 12,
)

/** Represents the running server. */
public class FrontServer internal constructor(
    private val server: Server,
    private val threads: QueuedThreadPool,
    private val connectors: Map<String, ServerConnector>,
) {
    /** Runs tasks of the server and of the connections to backend servers. */
    public val executor: Executor get() = threads

    /** The scheduler of the server. */
    public val scheduler: Scheduler get() = connectors.values.first().scheduler

    /** Returns the port of the listener [name]. */
    public fun portOf(name: String): Int = connectors.getValue(name).localPort

    /** Sets the time after which unused connections of the listener [name] are closed. */
    public fun limitIdle(name: String, idleMs: Long) {
        connectors.getValue(name).idleTimeout = idleMs
    }

    /** Stops taking connections at the listener [name]; open ones go on. */
    public fun closeListener(name: String) {
        connectors.getValue(name).close()
    }

    /** Closes the connections of the listener [name] that carry no request. */
    public fun closeIdle(name: String) {
        connectors.getValue(name).connectedEndPoints
            .filterIsInstance<WatchedEndPoint>()
            .filter { it.isFillInterested && !it.isWatching }
            .forEach { it.close() }
    }

    /** Stops the server; what is still open is cut off. */
    public fun stop() {
        server.stopTimeout = 0
        server.stop()
    }
}

/** Returns a started server with [listeners]. */
public fun startFrontServer(settings: FrontSettings, listeners: List<FrontListener>): FrontServer {
    val threads = QueuedThreadPool(settings.largestThreads, 2)
    threads.name = "front"
    threads.reservedThreads = 0
    val server = Server(threads, null, ByteBufferPool.NonPooling())
    val connectors = listeners.associate { it.name to connectorOf(server, settings, it) }
    connectors.values.forEach { server.addConnector(it) }
    server.handler = ListenerHandler(listeners.associate { it.name to it.handler })
    server.start()
    return FrontServer(server, threads, connectors)
}

private fun connectorOf(server: Server, settings: FrontSettings, listener: FrontListener): ServerConnector {
    val configuration = HttpConfiguration().apply {
        requestHeaderSize = settings.headBytes
        sendServerVersion = false
        sendDateHeader = false
        httpCompliance = HttpCompliance.RFC9110
        uriCompliance = UriCompliance.UNSAFE
    }
    return WatchingConnector(server, HttpConnectionFactory(configuration)).apply {
        name = listener.name
        host = listener.address.host
        port = listener.address.port
        idleTimeout = settings.idleMs
        acceptQueueSize = settings.acceptQueue
        reuseAddress = true
    }
}

private class WatchingConnector(server: Server, factory: HttpConnectionFactory) :
    ServerConnector(server, null, null, null, 0, 1, factory) {
    override fun newEndPoint(
        channel: SocketChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): SocketChannelEndPoint = WatchedEndPoint(channel, selector, key, scheduler)
        .also { it.idleTimeout = idleTimeout }
}

/** Gives each request to the handler of its listener, on the thread that read it. */
private class ListenerHandler(private val handlers: Map<String, FrontHandler>) : Handler.Abstract.NonBlocking() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val handler = handlers.getValue(request.connectionMetaData.connector.name)
        handler.handle(request, response, callback)
        return true
    }
}
