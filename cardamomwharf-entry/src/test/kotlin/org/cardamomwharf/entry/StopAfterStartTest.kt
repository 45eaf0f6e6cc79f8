/*
 * Tests that an entry process that is told to stop as soon as it listens stops gracefully.
 */
package org.cardamomwharf.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import java.io.File
import java.io.IOException
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val HOST = "127.58.2.1"
private const val CALLER_PORT = 8_000
private const val SOCKET_TIMEOUT_MS = 60_000
private const val EXIT_TIMEOUT_S = 60L
private const val REQUEST = "GET /run/orders HTTP/1.1\r\nHost: h\r\n\r\n"
private val settings = """
    name: entry
    zone: zone
    callerAddress: $HOST:$CALLER_PORT
    peerAddress: $HOST:8100
    adminAddress: $HOST:8200
    platformAddress: $HOST:8300
    logFormat: plain
""".trimIndent()

private fun startDaemon(folder: File): Process {
    val file = folder.resolve("entry.yaml").apply { writeText(settings) }
    val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
    val command = listOf(java, "-Xmx128m", "-cp", System.getProperty("java.class.path"))
    return ProcessBuilder(command + listOf("org.cardamomwharf.entry.MainKt", "--settings", file.path))
        .redirectErrorStream(true).redirectOutput(folder.resolve("log")).start()
}

/** Connects as soon as [daemon] listens for callers. */
private fun connect(daemon: Process): Socket {
    while (daemon.isAlive) {
        try {
            return Socket(HOST, CALLER_PORT)
        } catch (@Suppress("SwallowedException") e: IOException) {
            Thread.onSpinWait()
        }
    }
    error("the daemon has ended")
}

class StopAfterStartTest : FunSpec({
    // Guards against a SIGTERM shortly after the start that ends the process at once and cuts off accepted requests.
    test("`a request gets a response although the process is told to stop as soon as it listens`") {
        val daemon = startDaemon(tempdir())
        connect(daemon).use { socket ->
            daemon.destroy()
            socket.soTimeout = SOCKET_TIMEOUT_MS
            socket.getOutputStream().write(REQUEST.toByteArray())
            socket.getInputStream().bufferedReader().readLine() shouldBe "HTTP/1.1 503 Service Unavailable"
        }
        daemon.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
    }
})
