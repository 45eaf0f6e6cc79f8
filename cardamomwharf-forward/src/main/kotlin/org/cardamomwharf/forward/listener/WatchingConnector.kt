/*
 * A listening address of Jetty whose close is complete: Jetty's own leaves the socket open when the selector accepts
 * connections, and counts a connection only some time after it was accepted.
 */
package org.cardamomwharf.forward.listener

import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SelectorManager
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.server.internal.HttpConnection
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicInteger

/** Time a connection has to be silent for before it counts as unused; a request may be on its way meanwhile. */
private const val UNUSED_MS = 250L

internal class WatchingConnector(server: Server, factory: HttpConnectionFactory) :
    ServerConnector(server, null, null, null, 0, 1, factory) {
    private val arriving = AtomicInteger()

    /** Number of connections that are open or accepted and about to be. */
    val connectionCount: Int get() = arriving.get() + connectedEndPoints.size

    /** Accepts what the system has queued, then closes the socket. */
    override fun close() {
        super.close()
        val channel = transport as? ServerSocketChannel ?: return
        val isAccepting = !channel.isBlocking // Jetty closes what it has opened too when another address is taken.
        if (isAccepting) takeQueued(channel)
        channel.close()
        // A closed channel goes on listening until its selector has looked at it.
        selectorManager.getBeans(ManagedSelector::class.java).forEach { it.submit { } }
    }

    /** Closes the connections that carry no request, nor a part of one. */
    fun closeIdleConnections() {
        connectedEndPoints.filterIsInstance<WatchedEndPoint>().filter { it.isUnused() }.forEach { it.close() }
    }

    override fun newEndPoint(
        channel: SocketChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): SocketChannelEndPoint = WatchedEndPoint(channel, selector, key, scheduler)
        .also { it.idleTimeout = idleTimeout }

    override fun newSelectorManager(executor: Executor, scheduler: Scheduler, selectors: Int): SelectorManager =
        CountingManager(executor, scheduler, selectors)

    private fun takeQueued(channel: ServerSocketChannel) {
        try {
            generateSequence { channel.accept() }.forEach {
                it.configureBlocking(false)
                configure(it.socket())
                selectorManager.accept(it)
            }
        } catch (@Suppress("SwallowedException") e: ClosedChannelException) {
            return // Closed by another thread, which has taken the queue.
        }
    }

    private inner class CountingManager(executor: Executor, scheduler: Scheduler, selectors: Int) :
        ServerConnectorManager(executor, scheduler, selectors) {
        override fun accept(channel: SelectableChannel, attachment: Any?) {
            arriving.incrementAndGet()
            super.accept(channel, attachment)
        }

        override fun endPointOpened(endPoint: EndPoint) {
            super.endPointOpened(endPoint)
            arriving.decrementAndGet()
        }

        override fun onAcceptFailed(channel: SelectableChannel, cause: Throwable) {
            super.onAcceptFailed(channel, cause)
            arriving.decrementAndGet()
        }
    }
}

private fun WatchedEndPoint.isUnused(): Boolean {
    val parser = (connection as? HttpConnection)?.parser
    return isFillInterested && !isWatching && idleFor >= UNUSED_MS && parser?.isStart != false
}
