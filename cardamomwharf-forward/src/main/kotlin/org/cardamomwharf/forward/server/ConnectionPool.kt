/*
 * Pool of connections to backend servers. A request uses an idle connection or a new one.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.forward.bodies.BodyBudget
import org.cardamomwharf.forward.bodies.createBodyBudget
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

/**
 * Represents the settings of the pool.
 *
 * @param connectTimeoutMs connect timeout; longer than any round trip, shorter than most target latencies.
 * @param idleTimeoutMs idle time of a connection when the backend server announces no timeout.
 * @param maxResponseHeadBytes maximum size of a response head.
 * @param maxResponseBytes maximum size of a response body; that of all together is bounded by their reservations.
 */
public data class ConnectionPoolSettings(
    public val connectTimeoutMs: Long = 400,
    public val idleTimeoutMs: Long = 4_000,
    public val maxResponseHeadBytes: Int = 32_768,
    public val maxResponseBytes: Int = 2_097_152,
)

/** Identifies the backend server and the address that a connection belongs to. */
internal data class ServerKey(val server: ServerName, val address: SocketAddress)

/** Represents a connection that is being established for [call]. */
internal class PendingConnection(
    val pool: ConnectionPool,
    val key: ServerKey,
    val call: ServerCall,
    val startedAtMs: Long,
)

/** Represents the pool of connections. */
public class ConnectionPool internal constructor(
    private val settings: ConnectionPoolSettings,
    private val executor: Executor,
    private val clock: Clock,
    /** Budget of the bodies of the requests and responses on the connections. */
    public val bodyBudget: BodyBudget,
    private val onConnected: (ServerName, Long) -> Unit,
) : AutoCloseable {
    private val idle = IdleConnections()
    private val open = AtomicInteger()

    /** Number of connections opened since the start. */
    public val openedCount: AtomicInteger = AtomicInteger()
    private val connector = KeepAliveConnector().apply {
        selectors = 1
        sslContextFactory = emptySslContextFactory()
        executor = this@ConnectionPool.executor
        connectTimeout = Duration.ofMillis(settings.connectTimeoutMs)
        idleTimeout = Duration.ZERO
        isTCPNoDelay = true
    }

    /** Number of connections that are currently open. */
    public val openConnections: Int get() = open.get()

    internal fun start() {
        connector.start()
    }

    /** Sends the request of [call]; the call receives the result. */
    public fun send(call: ServerCall) {
        val key = ServerKey(call.server, call.address)
        var idleConnection = idle.take(key, clock.nowMs())
        while (idleConnection != null) {
            if (idleConnection.send(call)) return
            idleConnection = idle.take(key, clock.nowMs())
        }
        connect(key, call)
    }

    private fun connect(key: ServerKey, call: ServerCall) {
        val context = HashMap<String, Any>()
        context[Transport::class.java.name] = Transport.TCP_IP
        context[PENDING_CONNECTION] = PendingConnection(this, key, call, clock.nowMs())
        context[ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY] = Promise.from<Any>(
            { },
            { call.complete(CallResult.NotSent(CallFailure.CONNECT)) },
        )
        connector.connect(InetSocketAddress(key.address.host, key.address.port), context)
    }

    private fun newConnection(endPoint: EndPoint, pending: PendingConnection): ServerConnection {
        onConnected(pending.key.server, clock.nowMs() - pending.startedAtMs)
        return ServerConnection(endPoint, executor, settings, this, pending)
    }

    internal fun onOpen(connection: ServerConnection, call: ServerCall) {
        open.incrementAndGet()
        openedCount.incrementAndGet()
        if (!connection.send(call)) call.complete(CallResult.NotSent(CallFailure.RESET))
    }

    internal fun onIdle(connection: ServerConnection) {
        connection.idleSinceMs = clock.nowMs()
        idle.add(connection)
    }

    internal fun onDiscard(connection: ServerConnection) {
        idle.remove(connection)
    }

    internal fun onClosed() {
        open.decrementAndGet()
    }

    /** Closes idle connections whose idle timeout has expired; call about once a second. */
    public fun closeExpired() {
        idle.removeExpired(clock.nowMs()).forEach { it.discard() }
    }

    override fun close() {
        connector.stop()
    }

    /** Opens connections with TCP keep-alive, so that the system detects a silently lost peer. */
    private class KeepAliveConnector : ClientConnector() {
        override fun configure(selectable: SelectableChannel) {
            super.configure(selectable)
            (selectable as? SocketChannel)?.let(::enableTcpKeepAlive)
        }

        override fun newEndPoint(
            selectable: SelectableChannel,
            selector: ManagedSelector,
            selectionKey: SelectionKey,
        ): EndPoint = ResetDetectingEndPoint(selectable as SocketChannel, selector, selectionKey, scheduler)

        override fun newConnection(endPoint: EndPoint, context: MutableMap<String, Any>): Connection {
            val pending = context[PENDING_CONNECTION] as PendingConnection
            return pending.pool.newConnection(endPoint, pending)
        }
    }

    private companion object {
        const val PENDING_CONNECTION = "org.cardamomwharf.opening"
    }
}

/** Returns a started pool; [onConnected] receives the server and connect time in milliseconds of each connection. */
public fun startConnectionPool(
    settings: ConnectionPoolSettings,
    executor: Executor,
    clock: Clock,
    bodyBudget: BodyBudget = createBodyBudget(Runtime.getRuntime().maxMemory()),
    onConnected: (ServerName, Long) -> Unit = { _, _ -> },
): ConnectionPool = ConnectionPool(settings, executor, clock, bodyBudget, onConnected).also { it.start() }
