/*
 * A planned stop closes idle connections while callers use them. A request that was dispatched must be answered: its
 * backend server may already run it. A request that wasn't read may be sent again by its caller.
 */
package org.cardamomwharf.forward.listener

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.ByteBuffer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

private const val HOST = "127.0.0.1"
private const val TIMEOUT_MS = 20_000

/** Longer than the time after which a connection counts as idle. */
private const val IDLE_PAUSE_MS = 400L
private const val POLL_INTERVAL_MS = 5L
private const val ROUNDS = 6
private const val CALLERS = 60
private const val MAX_SEND_DELAY_NS = 3_000_000L
private const val SEED = 46
private val isKnownRedEnabled = System.getProperty("known.red").toBoolean()

private class IdleConnectionServer(private val onRequest: (String, () -> Unit) -> Unit) : AutoCloseable {
    private val server = Server()
    val connector = GracefulCloseConnector(server, HttpConfiguration())

    init {
        connector.host = HOST
        server.addConnector(connector)
        server.handler = object : Handler.Abstract.NonBlocking() {
            override fun handle(request: Request, response: Response, callback: Callback): Boolean {
                onRequest(request.httpURI.path) { response.write(true, ByteBuffer.wrap(BODY), callback) }
                return true
            }
        }
    }

    fun start() = server.start()

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

private val Connection.callerPort: Int get() = (endPoint.remoteSocketAddress as InetSocketAddress).port

class IdleConnectionCloseTest : FunSpec({
    // Guards against: a stop lists the idle connections, a request arrives on one of them, and the stop closes it.
    test("`a request that arrives while other idle connections are closed is answered`").config(enabled = isKnownRedEnabled) {
        val dispatched = CountDownLatch(1)
        lateinit var answer: () -> Unit
        val server = IdleConnectionServer { _, respond ->
            answer = respond
            dispatched.countDown()
        }
        val sockets = ConcurrentHashMap<Int, Socket>()
        val sent = AtomicInteger()
        server.connector.addBean(
            object : Connection.Listener {
                override fun onClosed(connection: Connection) {
                    if (sent.incrementAndGet() > 1) return
                    sockets.remove(connection.callerPort)
                    sockets.values.single().send("/late")
                    dispatched.await()
                }
            },
        )
        server.use {
            server.start()
            repeat(2) { server.connect().let { sockets[it.localPort] = it } }
            server.awaitConnections(2)
            Thread.sleep(IDLE_PAUSE_MS)
            while (sent.get() == 0) server.connector.closeIdleConnections()
            answer()
            sockets.values.single().readStatusLine() shouldBe "HTTP/1.1 200 OK"
        }
    }

    // Guards against: the check that a connection is idle and its close leave room for a request in between.
    test("`requests that race with the close of their idle connection are answered or not dispatched`")
        .config(enabled = isKnownRedEnabled) {
        val dispatched = ConcurrentHashMap.newKeySet<String>()
        val random = Random(SEED)
        IdleConnectionServer { path, respond ->
            dispatched.add(path)
            respond()
        }.use { server ->
            server.start()
            repeat(ROUNDS) { round ->
                val sockets = List(CALLERS) { server.connect() }
                server.awaitConnections(CALLERS)
                Thread.sleep(IDLE_PAUSE_MS)
                val start = CountDownLatch(1)
                val answered = ConcurrentHashMap.newKeySet<String>()
                val callers = sockets.mapIndexed { index, socket ->
                    val delayNs = random.nextLong(MAX_SEND_DELAY_NS)
                    thread {
                        start.await()
                        val sendAt = System.nanoTime() + delayNs
                        while (System.nanoTime() < sendAt) Thread.onSpinWait()
                        val path = "/$round/$index"
                        val isSent = runCatching { socket.send(path) }.isSuccess
                        if (isSent && socket.readStatusLine() != null) answered.add(path)
                    }
                }
                start.countDown()
                repeat(2) { server.connector.closeIdleConnections() }
                callers.forEach { it.join() }
                (dispatched - answered).filter { it.startsWith("/$round/") }.shouldBeEmpty()
                sockets.forEach { it.close() }
                while (server.connector.connectionCount > 0) Thread.sleep(POLL_INTERVAL_MS)
            }
        }
    }
})
