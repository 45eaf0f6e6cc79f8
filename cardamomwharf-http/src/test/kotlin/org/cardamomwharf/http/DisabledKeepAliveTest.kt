/*
 * Tests that a server with keep-alive disabled still responds and closes each connection after the response.
 */
package org.cardamomwharf.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.cardamomwharf.core.SocketAddress
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.Socket

private const val HOST = "127.0.0.1"
private const val SOCKET_TIMEOUT_MS = 20_000
private const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

class DisabledKeepAliveTest : FunSpec({
    test("`an open connection is closed after the next response once keep-alive is disabled`") {
        val settings = HttpServerSettings(SocketAddress(HOST, 0))
        val server = startJettyServer(settings) { Response(Status.OK).body("whole\n") }
        Socket(HOST, server.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            val reader = socket.getInputStream().bufferedReader()
            fun sendRequest(): String {
                socket.getOutputStream().write(REQUEST.toByteArray())
                return generateSequence { reader.readLine() }.takeWhile { it != "whole" }.joinToString()
            }
            sendRequest() shouldNotContain "close"
            server.disableKeepAlive()
            sendRequest() shouldContain "Connection: close"
            reader.read() shouldBe -1
        }
        server.stop()
    }
})
