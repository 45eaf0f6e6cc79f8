/*
 * The end of a connection while requests are handled before their turn: nobody waits for their responses any more, and
 * their handlers are notified. A handler that doesn't watch its caller has no requests behind it handled.
 */
package org.cardamomwharf.forward.listener

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.forward.support.CallerConnection
import org.cardamomwharf.forward.support.CallerResponse
import org.cardamomwharf.forward.support.getText
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val HOST = "127.0.0.1"
private const val LISTENER = "callers"
private const val OK = 200
private const val WAIT_S = 20L
private const val REQUEST_ID = "X-Request-Id"

/** Represents a request that the handler received and hasn't answered. */
private class Received(val response: Response, val callback: Callback) {
    private val source = checkNotNull(response.request.disconnectSource)
    val cancelled = CompletableFuture<Boolean>()

    init {
        source.watchDisconnect { cancelled.complete(true) }
    }

    fun respond(isClosing: Boolean = false) {
        source.unwatchDisconnect()
        response.status = OK
        response.headers.put(REQUEST_ID, response.request.headers.get(REQUEST_ID))
        response.headers.put(HttpHeader.CONTENT_LENGTH, 0L)
        if (isClosing) response.headers.put(HttpHeader.CONNECTION, "close")
        response.write(true, BufferUtil.EMPTY_BUFFER, callback)
    }

    fun fail() {
        source.unwatchDisconnect()
        callback.failed(IOException("handler failed"))
    }
}

/** Keeps the requests a, b and c until the test ends them. */
private class KeepingHandler : LookAheadHandler {
    val received = listOf("a", "b", "c").associateWith { CompletableFuture<Received>() }

    override fun handle(request: Request, response: Response, callback: Callback) {
        received.getValue(request.headers.get(REQUEST_ID)).complete(Received(response, callback))
    }

    override fun mayHandleAhead(request: Request): Boolean = true

    override fun mayBeOvertaken(request: Request): Boolean = true

    fun await(id: String): Received = received.getValue(id).get(WAIT_S, TimeUnit.SECONDS)
}

private fun withServer(test: (KeepingHandler, CallerConnection, AsyncHttpServer) -> Unit) {
    val handler = KeepingHandler()
    val listeners = listOf(HttpListener(LISTENER, SocketAddress(HOST, 0), handler))
    val settings = AsyncHttpServerSettings()
    val server = createAsyncHttpServer(settings, startHttpThreads(settings), listeners)
    server.start()
    CallerConnection(Socket(HOST, server.getPort(LISTENER))).use { caller ->
        caller.send(getText("a"), getText("b"), getText("c"))
        test(handler, caller, server)
    }
    server.stop()
}

private fun Received.awaitCancel() = cancelled.get(WAIT_S, TimeUnit.SECONDS) shouldBe true

class LookAheadEndTest : FunSpec({
    test("`a response that closes the connection cancels the requests behind it, which get no response`") {
        withServer { handler, caller, _ ->
            val (second, third) = handler.await("b") to handler.await("c")
            handler.await("a").respond(isClosing = true)
            second.awaitCancel()
            third.awaitCancel()
            caller.read() shouldBe CallerResponse("a", OK, isLast = true)
            caller.read() shouldBe null
        }
    }

    test(
        "`responses that were ready before their turn are sent in their order, and the last one closes the connection`"
    ) {
        withServer { handler, caller, _ ->
            handler.await("b").respond()
            val third = handler.await("c")
            handler.await("a").respond()
            caller.read() shouldBe CallerResponse("a", OK)
            caller.read() shouldBe CallerResponse("b", OK)
            third.cancelled.isDone shouldBe false
            third.respond(isClosing = true)
            caller.read() shouldBe CallerResponse("c", OK, isLast = true)
            caller.read() shouldBe null
        }
    }

    test("`a failure of the first request cancels those behind it`") {
        withServer { handler, _, _ ->
            val (second, third) = handler.await("b") to handler.await("c")
            handler.await("a").fail()
            second.awaitCancel()
            third.awaitCancel()
        }
    }

    test("`a failure before its turn ends the connection in its turn`") {
        withServer { handler, caller, _ ->
            val third = handler.await("c")
            handler.await("b").fail()
            third.cancelled.isDone shouldBe false
            handler.await("a").respond()
            caller.read() shouldBe CallerResponse("a", OK)
            third.awaitCancel()
        }
    }

    test("`stopping the server cancels the requests of its connections`") {
        withServer { handler, _, server ->
            val (second, third) = handler.await("b") to handler.await("c")
            server.stop()
            second.awaitCancel()
            third.awaitCancel()
        }
    }
})
