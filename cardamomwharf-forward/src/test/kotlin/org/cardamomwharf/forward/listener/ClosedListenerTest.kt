/*
 * A closed listener must refuse new connections, serve queued ones, and complete requests that have arrived in part.
 * Jetty's own connector keeps the socket open, so that callers connect and get no response.
 */
package org.cardamomwharf.forward.listener

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import org.cardamomwharf.core.SocketAddress
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.util.Callback
import java.net.ConnectException
import java.net.Socket
import java.util.concurrent.CountDownLatch

private const val HOST = "127.0.0.1"
private const val LISTENER = "callers"
private const val POLL_INTERVAL_MS = 10L
private const val POLLS = 500
private const val IDLE_POLLS = 60
private const val QUEUED = 20
private const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
private const val BODY_REQUEST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
private val respondOk = AsyncHandler { _, response, callback ->
    response.status = 200
    callback.succeeded()
}

private fun withServer(test: (AsyncHttpServer, Int) -> Unit) {
    val threads = startHttpThreads(AsyncHttpServerSettings())
    val listeners = listOf(HttpListener(LISTENER, SocketAddress(HOST, 0), respondOk))
    val server = createAsyncHttpServer(AsyncHttpServerSettings(), threads, listeners)
    server.start()
    try {
        test(server, server.getPort(LISTENER))
    } finally {
        server.stop()
    }
}

private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

private fun Socket.readResponse(): String = getInputStream().bufferedReader().readText()

class ClosedListenerTest : FunSpec({
    test("`a connection to a closed listener is refused instead of accepted without a response`") {
        withServer { server, port ->
            Socket(HOST, port).use { it.isConnected shouldBe true }
            while (server.countConnections(LISTENER) > 0) Thread.sleep(POLL_INTERVAL_MS)
            server.closeListener(LISTENER)
            shouldThrow<ConnectException> {
                repeat(POLLS) { Socket(HOST, port).use { Thread.sleep(POLL_INTERVAL_MS) } }
            }
        }
    }

    test("`connections in the accept queue are counted immediately and served after the close`") {
        val server = Server()
        val connector = GracefulCloseConnector(server, HttpConfiguration())
        connector.host = HOST
        server.addConnector(connector)
        server.handler = object : Handler.Abstract.NonBlocking() {
            override fun handle(
                request: Request,
                response: Response,
                callback: Callback,
            ): Boolean = true.also { respondOk.handle(request, response, callback) }
        }
        server.start()
        val mayContinue = CountDownLatch(1)
        connector.selectorManager.getBeans(ManagedSelector::class.java).forEach { it.submit { mayContinue.await() } }
        val sockets = List(QUEUED) { Socket(HOST, connector.localPort).apply { send(REQUEST) } }
        connector.close()
        connector.connectionCount shouldBe QUEUED
        mayContinue.countDown()
        sockets.forEach { socket -> socket.use { it.readResponse() shouldStartWith "HTTP/1.1 200" } }
        server.stop()
    }

    // Guards against a stop that sees no connection while the selector holds one that it has accepted.
    test("`a connection is counted from the moment at which it is accepted`") {
        val isAccepted = CountDownLatch(1)
        val mayContinue = CountDownLatch(1)
        val server = Server()
        val connector = object : GracefulCloseConnector(server, HttpConfiguration()) {
            override fun configure(socket: Socket) {
                isAccepted.countDown()
                mayContinue.await()
                super.configure(socket)
            }
        }
        connector.host = HOST
        server.addConnector(connector)
        server.start()
        Socket(HOST, connector.localPort).use {
            isAccepted.await()
            connector.close()
            connector.connectionCount shouldBe 1
            mayContinue.countDown()
        }
        while (connector.connectionCount > 0) Thread.sleep(POLL_INTERVAL_MS)
        server.stop()
    }

    test("`closing idle connections keeps those whose request has arrived in part`") {
        withServer { server, port ->
            val unused = Socket(HOST, port)
            val inHead = Socket(HOST, port).apply { send(REQUEST.dropLast(2)) }
            val inBody = Socket(HOST, port).apply { send(BODY_REQUEST + "ab") }
            while (server.countConnections(LISTENER) < 3) Thread.sleep(POLL_INTERVAL_MS)
            server.closeListener(LISTENER)
            repeat(IDLE_POLLS) {
                server.closeIdleConnections(LISTENER)
                Thread.sleep(POLL_INTERVAL_MS)
            }
            unused.use { it.getInputStream().read() shouldBe -1 }
            inHead.use {
                it.send("\r\n")
                it.readResponse() shouldStartWith "HTTP/1.1 200"
            }
            inBody.use {
                it.send("cd")
                it.readResponse() shouldStartWith "HTTP/1.1 200"
            }
        }
    }
})
