/*
 * Jetty connector that closes its listening socket reliably. Jetty's connector leaves the socket open when the selector
 * accepts connections, and counts a connection only some time after accepting it.
 */
package org.cardamomwharf.forward.listener

import org.cardamomwharf.forward.effectiveHeadBytes
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SelectorManager
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicInteger

internal open class GracefulCloseConnector(server: Server, private val configuration: HttpConfiguration) :
    ServerConnector(server, null, null, null, 0, 1, CallerConnectionFactory(configuration)) {
    private val pendingCount = AtomicInteger()

    /** Number of connections that are open or accepted; one may be counted twice while it is accepted. */
    val connectionCount: Int get() = pendingCount.get() + connectedEndPoints.size

    /** Sets the maximum size of a request head on connections that are opened from now on. */
    fun setMaxHeadBytes(maxHeadBytes: Int) {
        configuration.requestHeaderSize = effectiveHeadBytes(maxHeadBytes)
    }

    /** Accepts the connections in the accept queue, then closes the socket. */
    override fun close() {
        super.close()
        val channel = transport as? ServerSocketChannel ?: return
        // If another address is in use, Jetty also closes the connectors that are open and not yet accepting.
        val isAccepting = !channel.isBlocking
        if (isAccepting) acceptQueued(channel)
        channel.close()
        // A closed channel listens until its selector has processed the cancelled key.
        selectorManager.getBeans(ManagedSelector::class.java).forEach { it.submit { } }
    }

    /** Closes the connections that carry no request and no part of one, and returns their number. */
    fun closeIdleConnections(): Int =
        connectedEndPoints.filterIsInstance<CallerEndPoint>().count { it.closeIfIdle() }

    override fun newEndPoint(
        channel: SocketChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): SocketChannelEndPoint = CallerEndPoint(channel, selector, key, scheduler)
        .also { it.idleTimeout = idleTimeout }

    override fun newSelectorManager(executor: Executor, scheduler: Scheduler, selectors: Int): SelectorManager =
        CountingSelectorManager(executor, scheduler, selectors)

    private fun acceptQueued(channel: ServerSocketChannel) {
        try {
            generateSequence { channel.accept() }.forEach {
                it.configureBlocking(false)
                configure(it.socket())
                selectorManager.accept(it)
            }
        } catch (@Suppress("SwallowedException") e: ClosedChannelException) {
            return // Closed by another thread, which has accepted the queued connections.
        }
    }

    private inner class CountingSelectorManager(executor: Executor, scheduler: Scheduler, selectors: Int) :
        ServerConnectorManager(executor, scheduler, selectors) {
        /** Counts the connection that this call may accept until [accepted] has returned. */
        override fun doAccept(server: SelectableChannel): SelectableChannel? {
            pendingCount.incrementAndGet()
            var channel: SelectableChannel? = null
            try {
                channel = super.doAccept(server)
            } finally {
                if (channel == null) pendingCount.decrementAndGet()
            }
            return channel
        }

        override fun accepted(channel: SelectableChannel) {
            try {
                super.accepted(channel)
            } finally {
                pendingCount.decrementAndGet()
            }
        }

        override fun accept(channel: SelectableChannel, attachment: Any?) {
            pendingCount.incrementAndGet()
            super.accept(channel, attachment)
        }

        override fun endPointOpened(endPoint: EndPoint) {
            super.endPointOpened(endPoint)
            pendingCount.decrementAndGet()
        }

        override fun onAcceptFailed(channel: SelectableChannel, cause: Throwable) {
            super.onAcceptFailed(channel, cause)
            pendingCount.decrementAndGet()
        }
    }
}
