/*
 * Callers that send bytes without end, in parts of a request that the parser skips: other callers of the same port must
 * be served meanwhile, and the connections must be served on.
 */
package org.cardamomwharf.forward.listener

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.requestHead
import org.cardamomwharf.forward.support.responseText
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.BufferUtil
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

private const val SMALL_BYTES = 200
private const val FLOODING_CALLERS = 6
private const val PIECES_BEFORE = 200
private const val REQUESTS = 50
private const val PIECE_BYTES = 65_536
private const val POST = "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: f\r\n"

private const val HOST = "127.0.0.1"
private const val LISTENER = "callers"
private val isSent = CountDownLatch(1)

private val floods = mapOf(
    "empty lines before a request" to ("" to "\r\n".repeat(PIECE_BYTES / 2)),
    "a chunk's extension" to ("${POST}Transfer-Encoding: chunked\r\n\r\n1;x=" to "x".repeat(PIECE_BYTES)),
)

class EndlessCallerTest : FunSpec({
    floods.forEach { (part, flood) ->
        // Guards against a caller that occupies the selector's thread, on which all callers of the port are read.
        test("`callers that send $part without end don't keep others from being served`") {
            ScriptedServer { connection, _ ->
                generateSequence { connection.readHead() }.forEach { connection.send(responseText(findRequestId(it))) }
            }.use { server ->
                ForwardingGateway(server.address).use { gateway ->
                    val isFlooding = CountDownLatch(FLOODING_CALLERS * PIECES_BEFORE)
                    val sockets = List(FLOODING_CALLERS) { gateway.connect() }
                    sockets.forEach { flood(it, flood.first, flood.second, isFlooding) }
                    isFlooding.await()
                    repeat(REQUESTS) { gateway.exchange(requestHead(SMALL_BYTES)) shouldStartWith "HTTP/1.1 200" }
                    sockets.forEach { it.close() }
                }
            }
        }
    }

    // Guards against a loop that reads a caller's bytes on the selector's thread for as long as they arrive.
    test("`one buffer is read for each event of the selector`") {
        val availableBytes = CompletableFuture<Int>()
        val settings = AsyncHttpServerSettings()
        val listener = HttpListener(LISTENER, SocketAddress(HOST, 0)) { request, response, callback ->
            isSent.await()
            availableBytes.complete(countAvailable(request))
            response.write(true, BufferUtil.EMPTY_BUFFER, callback)
        }
        val server = createAsyncHttpServer(settings, startHttpThreads(settings), listOf(listener))
        server.start()
        Socket(HOST, server.getPort(LISTENER)).use { socket ->
            socket.getOutputStream().write(requestHead(SMALL_BYTES).toByteArray())
            socket.getOutputStream().write(ByteArray(PIECE_BYTES))
            isSent.countDown()
            availableBytes.get() shouldBe 0
        }
        server.stop()
    }
})

/** Reads from the end point of the request until no input is left, and counts the bytes. */
private fun countAvailable(request: Request): Int {
    val endPoint = request.connectionMetaData.connection.endPoint
    val buffer = BufferUtil.allocate(PIECE_BYTES)
    return generateSequence { endPoint.fill(buffer.also(BufferUtil::clear)) }.takeWhile { it > 0 }.sum()
}

/** Sends [piece] after [start] until the connection ends. */
private fun flood(socket: Socket, start: String, piece: String, isFlooding: CountDownLatch) {
    thread(isDaemon = true) {
        val bytes = piece.toByteArray()
        runCatching {
            socket.getOutputStream().write(start.toByteArray())
            while (true) socket.getOutputStream().write(bytes).also { isFlooding.countDown() }
        }
        repeat(PIECES_BEFORE) { isFlooding.countDown() }
    }
}
