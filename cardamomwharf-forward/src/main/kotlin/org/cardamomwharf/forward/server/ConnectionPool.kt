/*
 * The connections to backend servers. A request goes over one that is idle or over a new one.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.http.emptySslContextFactory
import org.cardamomwharf.http.enableTcpKeepAlive
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.Transport
import org.eclipse.jetty.util.Promise
import java.net.InetSocketAddress
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.time.Duration
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Represents the limits of the pool.
 *
 * @param connectTimeoutMs time for a new connection; longer than any way there and back, shorter than most targets.
 * @param idleTimeoutMs time for which a connection is kept when the backend server names none.
 * @param maxResponseBytes size of the largest answer that is carried.
 * @param maxBufferedBytes size of all answers together that are being read; they grow to twice this in a heap of 96 MB.
 */
public data class ConnectionPoolSettings(
    public val connectTimeoutMs: Long = 400,
    public val idleTimeoutMs: Long = 4_000,
    public val maxHeadBytes: Int = 16_384,
    public val maxResponseBytes: Int = 2_097_152,
    public val maxBufferedBytes: Long = 16_777_216,
)

/** Represents one life of a backend server at one address. */
internal data class ServerKey(val server: ServerName, val address: SocketAddress)

/** Represents a connection that is being made for [call]. */
internal class Opening(val pool: ConnectionPool, val key: ServerKey, val call: ServerCall, val startedAtMs: Long)

/** Represents the pool. */
public class ConnectionPool internal constructor(
    private val settings: ConnectionPoolSettings,
    private val executor: Executor,
    private val clock: Clock,
    private val onConnected: (ServerName, Long) -> Unit,
) : AutoCloseable {
    private val idle = IdleConnections()
    private val open = AtomicInteger()

    /** Bytes of the bodies that are being read. */
    internal val heldBytes: AtomicLong = AtomicLong()

    /** Connections that were opened since the start. */
    public val openedCount: AtomicInteger = AtomicInteger()
    private val connector = KeptAliveConnector().apply {
        selectors = 1
        sslContextFactory = emptySslContextFactory()
        executor = this@ConnectionPool.executor
        connectTimeout = Duration.ofMillis(settings.connectTimeoutMs)
        idleTimeout = Duration.ZERO
        isTCPNoDelay = true
    }

    /** Connections that are open now. */
    public val openConnections: Int get() = open.get()

    internal fun start() {
        connector.start()
    }

    /** Starts [call]. */
    public fun send(call: ServerCall) {
        val key = ServerKey(call.server, call.address)
        var kept = idle.take(key, clock.nowMs())
        while (kept != null) {
            if (kept.isQuiet() && kept.send(call)) return
            kept.discard()
            kept = idle.take(key, clock.nowMs())
        }
        connect(key, call)
    }

    private fun connect(key: ServerKey, call: ServerCall) {
        val context = HashMap<String, Any>()
        context[Transport::class.java.name] = Transport.TCP_IP
        context[OPENING] = Opening(this, key, call, clock.nowMs())
        context[ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY] = Promise.from<Any>(
            { },
            { call.end(CallResult.NotSent(CallFailure.CONNECT)) },
        )
        connector.connect(InetSocketAddress(key.address.host, key.address.port), context)
    }

    private fun newConnection(endPoint: EndPoint, opening: Opening): ServerConnection {
        onConnected(opening.key.server, clock.nowMs() - opening.startedAtMs)
        return ServerConnection(endPoint, executor, settings, this, opening)
    }

    internal fun onOpen(connection: ServerConnection, call: ServerCall) {
        open.incrementAndGet()
        openedCount.incrementAndGet()
        if (call.hasEnded) {
            onIdle(connection)
        } else if (!connection.send(call)) {
            call.end(CallResult.NotSent(CallFailure.RESET))
        }
    }

    internal fun onIdle(connection: ServerConnection) {
        connection.idleSinceMs = clock.nowMs()
        idle.add(connection)
    }

    internal fun onGone(connection: ServerConnection) {
        idle.remove(connection)
    }

    internal fun onClosed() {
        open.decrementAndGet()
    }

    /** Closes idle connections whose time is over; due about once a second. */
    public fun closeExpired() {
        idle.expired(clock.nowMs()).forEach { it.discard() }
    }

    override fun close() {
        connector.stop()
    }

    /** Opens connections whose silent loss the system notices by itself. */
    private class KeptAliveConnector : ClientConnector() {
        override fun configure(selectable: SelectableChannel) {
            super.configure(selectable)
            (selectable as? SocketChannel)?.let(::enableTcpKeepAlive)
        }

        override fun newEndPoint(
            selectable: SelectableChannel,
            selector: ManagedSelector,
            selectionKey: SelectionKey,
        ): EndPoint = StrictEndPoint(selectable as SocketChannel, selector, selectionKey, scheduler)

        override fun newConnection(endPoint: EndPoint, context: MutableMap<String, Any>): Connection {
            val opening = context[OPENING] as Opening
            return opening.pool.newConnection(endPoint, opening)
        }
    }

    private companion object {
        const val OPENING = "org.cardamomwharf.opening"
    }
}

/** Returns a started pool; [onConnected] is told how many milliseconds each new connection to a server took. */
public fun startConnectionPool(
    settings: ConnectionPoolSettings,
    executor: Executor,
    clock: Clock,
    onConnected: (ServerName, Long) -> Unit = { _, _ -> },
): ConnectionPool = ConnectionPool(settings, executor, clock, onConnected).also { it.start() }
