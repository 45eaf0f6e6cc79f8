/*
 * Tests that a stop of a server ends no response that its caller is still reading.
 */
package org.cardamomwharf.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.SocketAddress
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.ByteBuffer
import kotlin.concurrent.thread

private const val HOST = "127.0.0.1"
private const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
private const val END_OF_HEAD = "\r\n\r\n"
private const val SOCKET_TIMEOUT_MS = 20_000
private const val RECEIVE_BUFFER_BYTES = 65_536

/** More than the buffers of the operating system hold, so that the server is still writing when it stops. */
private const val BODY_BYTES = 40_000_000L
private const val PIECE_BYTES = 400_000
private const val PAUSE_MS = 25L

/** Time far beyond that of a caller that reads the whole body. */
private const val STOP_TIMEOUT_MS = 60_000L

/** Skips the head of the response, then reads the body piece by piece and returns its size. */
private fun InputStream.countSlowly(): Long {
    var head = ""
    while (!head.endsWith(END_OF_HEAD)) head += read().toChar()
    val piece = ByteArray(PIECE_BYTES)
    return generateSequence { Thread.sleep(PAUSE_MS).let { readNBytes(piece, 0, PIECE_BYTES) } }
        .takeWhile { it > 0 }
        .sumOf { it.toLong() }
}

class ServerStopTest : FunSpec({
    // Guards against a stop that truncates the response to a request that ran, because its caller reads slowly.
    test("`a stop lets a caller that reads slowly have its whole response`") {
        val settings = HttpServerSettings(SocketAddress(HOST, 0))
        val body = Body(ByteBuffer.allocate(BODY_BYTES.toInt()))
        val server = startJettyServer(settings) { Response(Status.OK).body(body) }
        server.disableKeepAlive()
        Socket().use { socket ->
            socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
            socket.soTimeout = SOCKET_TIMEOUT_MS
            socket.connect(InetSocketAddress(HOST, server.port))
            socket.getOutputStream().write(REQUEST.toByteArray())
            val input = socket.getInputStream()
            input.read() shouldBe 'H'.code
            val stop = thread { server.stop(STOP_TIMEOUT_MS) }
            input.countSlowly() shouldBe BODY_BYTES
            stop.join()
        }
    }
})
