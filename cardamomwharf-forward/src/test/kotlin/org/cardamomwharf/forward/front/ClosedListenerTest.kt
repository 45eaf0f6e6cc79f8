/*
 * A listener that is closed takes no further connection, also none that the system would keep for it.
 */
package org.cardamomwharf.forward.front

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.SocketAddress
import java.net.ConnectException
import java.net.Socket

private const val HOST = "127.0.0.1"
private const val LOOK_MS = 10L
private const val LOOKS = 500

/** True when the tests that KNOWN-RED.txt lists are to run. */
private val isKnownRedPlayed = System.getProperty("known.red") == "true"

class ClosedListenerTest : FunSpec({
    val isRefused = "`a connection after the close of an idle listener is refused, not left without an answer`"

    test(isRefused).config(enabled = isKnownRedPlayed) {
        val settings = FrontSettings()
        val threads = startFrontThreads(settings)
        val listener = FrontListener("callers", SocketAddress(HOST, 0), { _, _, callback -> callback.succeeded() })
        val server = frontServerOf(settings, threads, listOf(listener))
        server.start()
        val port = server.portOf("callers")
        Socket(HOST, port).use { it.isConnected shouldBe true }
        while (server.countConnections("callers") > 0) Thread.sleep(LOOK_MS)
        server.closeListener("callers")
        try {
            shouldThrow<ConnectException> { repeat(LOOKS) { Socket(HOST, port).use { Thread.sleep(LOOK_MS) } } }
        } finally {
            server.stop()
        }
    }
})
