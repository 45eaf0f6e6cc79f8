/*
 * A TCP relay between two processes: it forwards bytes between a listening address and a target address, and can drop,
 * delay, duplicate or truncate them.
 */
package org.cardamomwharf.standin.network

import org.cardamomwharf.core.SocketAddress
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

private const val BACKLOG = 128
private const val CONNECT_TIMEOUT_MS = 1_000

/** Relays connections to a target address until it is closed; its threads are daemons. */
public class TcpRelay internal constructor(listen: SocketAddress, private val target: SocketAddress) : AutoCloseable {
    private val server = ServerSocket(listen.port, BACKLOG, InetAddress.getByName(listen.host))
    private val connections = ConcurrentHashMap.newKeySet<RelayedConnection>()

    @Volatile
    private var fault = RelayFault.NONE

    /** The number of open connections. */
    public val openConnections: Int get() = connections.size

    internal fun start() {
        startThread("relay-accept") { accept() }
    }

    /** Sets the fault for all bytes from now on. */
    public fun changeFault(next: RelayFault) {
        fault = next
        if (next == RelayFault.BLACKHOLE) stallConnections()
    }

    /** Stops forwarding on all open connections without closing them; later connections work. */
    public fun stallConnections() {
        connections.forEach { it.isStalled = true }
    }

    /** Closes all open connections. */
    public fun reset() {
        connections.forEach { it.close() }
    }

    private fun accept() {
        while (!server.isClosed) {
            try {
                relay(server.accept())
            } catch (@Suppress("SwallowedException") e: IOException) {
                continue
            }
        }
    }

    private fun relay(clientSocket: Socket) {
        val targetSocket = Socket()
        val connection = RelayedConnection(clientSocket, targetSocket) { connections.remove(it) }
        connection.isStalled = fault == RelayFault.BLACKHOLE
        connections.add(connection)
        try {
            targetSocket.connect(InetSocketAddress(target.host, target.port), CONNECT_TIMEOUT_MS)
            startThread("relay-out") { connection.pump(clientSocket, targetSocket) { RelayFault.NONE } }
            startThread("relay-back") { connection.pump(targetSocket, clientSocket) { fault } }
        } catch (@Suppress("SwallowedException") e: IOException) {
            connection.close()
        }
    }

    private fun startThread(name: String, run: () -> Unit) {
        Thread(run, name).apply { isDaemon = true }.start()
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }
}

/** Starts a relay from [listen] to [target]. */
public fun startTcpRelay(listen: SocketAddress, target: SocketAddress): TcpRelay =
    TcpRelay(listen, target).also { it.start() }
