/*
 * A server that leaves answers what arrives and closes each connection after its answer.
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
private const val LIMIT_MS = 20_000
private const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

class LeavingConnectionTest : FunSpec({
    test("`a connection in use is closed after the next answer once the server leaves`") {
        val settings = HttpServerSettings(SocketAddress(HOST, 0))
        val server = startJettyServer(settings) { Response(Status.OK).body("whole\n") }
        Socket(HOST, server.port).use { socket ->
            socket.soTimeout = LIMIT_MS
            val reader = socket.getInputStream().bufferedReader()
            fun answer(): String {
                socket.getOutputStream().write(REQUEST.toByteArray())
                return generateSequence { reader.readLine() }.takeWhile { it != "whole" }.joinToString()
            }
            answer() shouldNotContain "close"
            server.disableKeepAlive()
            answer() shouldContain "Connection: close"
            reader.read() shouldBe -1
        }
        server.stop()
    }
})
