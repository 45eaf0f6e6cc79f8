/*
 * The peer of a call sends an unlimited response, in each part of the response: the call must end, and the client must
 * neither read nor keep more than its limits. The store and other instances are called with this client.
 */
package org.cardamomwharf.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val HOST = "127.0.0.1"
private const val BACKLOG = 50
private const val PIECE_BYTES = 8_192
private const val TIMEOUT_MS = 20_000L

/** Calls one after the other; the second one needs the only connection that the client may open. */
private const val CALLS = 2
private const val MAX_RESPONSE_BYTES = 100_000

/** Limit of the client, and what the peer can write besides: the buffers of the operating system. */
private const val MAX_READ_BYTES = 40_000_000L
private const val HEAD = "HTTP/1.1 200 OK\r\n"
private const val CHUNKED = "${HEAD}Transfer-Encoding: chunked\r\n\r\n"

private class UnlimitedAnswer(val start: String, val piece: String)

private val answers = mapOf(
    "a line of the head" to UnlimitedAnswer("${HEAD}X-Long: ", "x".repeat(PIECE_BYTES)),
    "fields of the head" to UnlimitedAnswer(HEAD, "X-F: x\r\n".repeat(1_000)),
    "empty lines before the head" to UnlimitedAnswer("", "\r\n".repeat(PIECE_BYTES)),
    "interim responses" to UnlimitedAnswer("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(300)),
    "a chunk's extension" to UnlimitedAnswer("${CHUNKED}1;x=", "x".repeat(PIECE_BYTES)),
    "chunks of one byte" to UnlimitedAnswer(CHUNKED, "1\r\nx\r\n".repeat(1_000)),
    "trailers" to UnlimitedAnswer("${CHUNKED}0\r\n", "X-F: x\r\n".repeat(1_000)),
    "a body without a length" to UnlimitedAnswer("$HEAD\r\n", "x".repeat(PIECE_BYTES)),
    "no response at all" to UnlimitedAnswer("", "x".repeat(PIECE_BYTES)),
)

/** Sends [answer] on each connection until it is closed, and counts the bytes. */
private class UnlimitedPeer(private val answer: UnlimitedAnswer) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName(HOST))
    val sentBytes = AtomicLong()
    val url = "http://$HOST:${listener.localPort}/"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use(::sendUntilClosed) }
            }
        }
    }

    private fun sendUntilClosed(socket: Socket) = try {
        socket.getInputStream().read(ByteArray(PIECE_BYTES))
        val piece = answer.piece.toByteArray()
        socket.getOutputStream().write(answer.start.toByteArray())
        while (true) {
            socket.getOutputStream().write(piece)
            sentBytes.addAndGet(piece.size.toLong())
        }
    } catch (@Suppress("SwallowedException") e: IOException) {
        listener.isClosed // The client has closed the connection.
    }

    override fun close() = listener.close()
}

class UnlimitedAnswerTest : FunSpec({
    val client = startJettyHttpClient(HttpClientSettings("test", maxConnections = 1, maxThreads = 6))
    afterSpec { client.close() }

    answers.forEach { (part, answer) ->
        // Guards against a faulty store or instance whose bytes fill the heap or occupy a thread.
        test("`unlimited bytes in $part end the call within its limits`") {
            UnlimitedPeer(answer).use { peer ->
                val call = HttpCall("GET", peer.url, timeoutMs = TIMEOUT_MS, maxResponseBytes = MAX_RESPONSE_BYTES)
                repeat(CALLS) {
                    client.call(call).shouldBeInstanceOf<HttpResult.Lost>().failure shouldNotBe HttpFailure.TIMEOUT
                }
                peer.sentBytes.get() shouldBeLessThan CALLS * MAX_READ_BYTES
            }
        }
    }
})
