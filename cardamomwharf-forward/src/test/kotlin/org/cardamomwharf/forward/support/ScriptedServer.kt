/*
 * Scripted backend server on raw sockets for tests, which can violate the protocol.
 */
package org.cardamomwharf.forward.support

import org.cardamomwharf.core.SocketAddress
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

private const val BACKLOG = 50

/** A large request doesn't fit into the buffers of a connection that isn't read. */
private const val BUFFER_BYTES = 16_384

/** Passes each connection to [serve], with its number starting at 1. */
internal class ScriptedServer(private val serve: (ScriptedConnection, Int) -> Unit) : AutoCloseable {
    private val listener = ServerSocket().apply {
        receiveBufferSize = BUFFER_BYTES
        bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG)
    }
    private val connections = CopyOnWriteArrayList<Socket>()
    val accepted = AtomicInteger()
    val address = SocketAddress("127.0.0.1", listener.localPort)

    init {
        thread {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                connections.add(socket)
                if (listener.isClosed) socket.close() // Accepted while close iterated over the connections.
                val number = accepted.incrementAndGet()
                thread { runCatching { serve(ScriptedConnection(socket), number) } }
            }
        }
    }

    private fun thread(run: () -> Unit) = Thread(run).apply { isDaemon = true }.start()

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }
}

/** Represents a connection of the scripted server. */
internal class ScriptedConnection(private val socket: Socket) {
    private val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)

    /** Reads one request without a body and returns its head, or null at the end of the stream. */
    fun readHead(): List<String>? {
        val lines = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        return lines.ifEmpty { null }
    }

    /** Reads [count] bytes and returns them; fewer at the end of the stream. */
    fun readBody(count: Int): String =
        generateSequence { reader.read() }.takeWhile { it >= 0 }.take(count).map { it.toChar() }.joinToString("")

    /** Waits for input and returns true if the peer closed the connection. */
    fun awaitClose(): Boolean = reader.read() < 0

    fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    fun close() = socket.close()

    /** Closes the connection with a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }
}

/** Returns a signed response to the request [id]. */
internal fun responseText(id: String, body: String = "body", extra: String = ""): String {
    val own = "X-Request-Id: $id\r\nX-Response-Signature: s\r\n$extra"
    return "HTTP/1.1 200 OK\r\n${own}Content-Length: ${body.length}\r\n\r\n$body"
}

internal fun findRequestId(head: List<String>): String =
    head.first { it.startsWith("X-Request-Id:") }.substringAfter(':').trim()

/** Answers each request without a body until the peer closes the connection. */
internal fun ScriptedConnection.serveForever() {
    generateSequence { readHead() }.forEach { send(responseText(findRequestId(it))) }
}
