/*
 * A planned stop closes idle connections while callers use them. A request that was dispatched must be answered: its
 * backend server may already run it. A request that wasn't read may be sent again by its caller.
 */
package org.cardamomwharf.forward.listener

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.net.Socket
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.TimeoutException
import kotlin.random.Random

private const val HOST = "127.0.0.1"
private const val TIMEOUT_MS = 20_000

/** Longer than the time after which a connection counts as idle. */
private const val IDLE_PAUSE_MS = 400L
private const val POLL_INTERVAL_MS = 5L
private const val ROUNDS = 8
private const val CALLERS = 200
private const val SEED = 46

/** Holds its responses until [respondAll], and records the requests that it takes for abandoned by their callers. */
private class HoldingServer : AutoCloseable {
    private val server = Server()
    private val held = ArrayDeque<() -> Unit>()
    private var isHolding = true
    val connector = GracefulCloseConnector(server, HttpConfiguration())
    val dispatched: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val abandoned: MutableSet<String> = ConcurrentHashMap.newKeySet()

    init {
        connector.host = HOST
        server.addConnector(connector)
        server.handler = object : Handler.Abstract.NonBlocking() {
            override fun handle(request: Request, response: Response, callback: Callback): Boolean {
                val path = request.httpURI.path
                dispatched.add(path)
                request.disconnectSource?.watchDisconnect { abandoned.add(path) }
                respondOrHold {
                    request.disconnectSource?.unwatchDisconnect()
                    response.write(true, ByteBuffer.wrap(BODY), callback)
                }
                return true
            }
        }
        server.start()
    }

    private fun respondOrHold(respond: () -> Unit) {
        val isHeld = synchronized(held) { isHolding.also { if (it) held.add(respond) } }
        if (!isHeld) respond()
    }

    fun hold() = synchronized(held) { isHolding = true }

    /** Sends the responses that are held, and later ones at once. */
    fun respondAll() {
        val responses = synchronized(held) {
            isHolding = false
            held.toList().also { held.clear() }
        }
        responses.forEach { it() }
    }

    fun connect(): Socket = Socket(HOST, connector.localPort).apply { soTimeout = TIMEOUT_MS }

    fun awaitConnections(count: Int) {
        while (connector.connectionCount < count) Thread.sleep(POLL_INTERVAL_MS)
    }

    override fun close() = server.stop()

    private companion object {
        val BODY = "answer".toByteArray()
    }
}

private fun Socket.send(path: String) =
    getOutputStream().write("POST $path HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".toByteArray())

/** Returns the first line of the response, or null if the connection ends before. */
private fun Socket.readStatusLine(): String? = try {
    getInputStream().bufferedReader().readLine()
} catch (@Suppress("SwallowedException") e: IOException) {
    null
}

/** Sends a request on each of [sockets] and returns the paths of those that are answered. */
private fun sendAndRead(sockets: Map<String, Socket>): Set<String> {
    val sent = sockets.filter { (path, socket) -> runCatching { socket.send(path) }.isSuccess }
    return sent.filter { (_, socket) -> socket.readStatusLine() != null }.keys
}

class IdleConnectionCloseTest : FunSpec({
    // Guards against: a stop finds a connection idle, a request arrives on it, and the stop closes it.
    test("`requests that race with the close of their idle connections are answered or not dispatched`") {
        val random = Random(SEED)
        HoldingServer().use { server ->
            repeat(ROUNDS) { round ->
                server.hold()
                val sockets = List(CALLERS) { "/$round/$it" }.associateWith { server.connect() }
                server.awaitConnections(CALLERS)
                Thread.sleep(IDLE_PAUSE_MS)
                val start = CyclicBarrier(2)
                val shuffled = sockets.toList().shuffled(random).toMap()
                val answered = CompletableFuture.supplyAsync {
                    start.await()
                    sendAndRead(shuffled)
                }
                start.await()
                server.connector.closeIdleConnections()
                server.respondAll()
                val unanswered = answered.get().let { paths -> server.dispatched - paths }
                unanswered.filter { it.startsWith("/$round/") }.shouldBeEmpty()
                sockets.values.forEach { it.close() }
                while (server.connector.connectionCount > 0) Thread.sleep(POLL_INTERVAL_MS)
            }
        }
    }

    // Guards against: an idle timeout that was decided before a request arrived ends the request as abandoned.
    test("`an idle timeout that passes while a request arrives doesn't end the request`") {
        HoldingServer().use { server ->
            server.connect().use { socket ->
                socket.send("/late")
                while (server.dispatched.isEmpty()) Thread.sleep(POLL_INTERVAL_MS)
                val endPoint = server.connector.connectedEndPoints.single() as CallerEndPoint
                while (!endPoint.isFillInterested) Thread.sleep(POLL_INTERVAL_MS)
                endPoint.fillInterest.onFail(TimeoutException("idle"))
                server.abandoned.shouldBeEmpty()
                server.respondAll()
                socket.readStatusLine() shouldBe "HTTP/1.1 200 OK"
            }
        }
    }
})
