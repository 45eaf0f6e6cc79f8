/*
 * Tests the signals of a real process without a store. A request under way is one whose head has arrived in part.
 */
package org.cardamomwharf.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.io.BufferedReader
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val HOST = "127.59.4.1"
private const val CALLER_PORT = 8_000
private const val TIMEOUT_S = 60L
private const val EXIT_START = 5
private const val STOP_SIGNAL_EXIT = 143
private const val HEXADECIMAL = 16

/** Bit of SIGHUP in a set of signals. */
private const val HANG_UP_MASK = 1UL

private val settings = """
    instance: "i"
    zone: "z"
    zones:
      - { name: "z", region: "r" }
    addresses:
      caller: "$HOST:$CALLER_PORT"
      ready: "$HOST:8001"
      directory: "$HOST:8002"
      store: "$HOST:7000"
      host: "$HOST"
    internalPorts: [8100, 8115]
    bounds: { stopS: 10, retryRatio: 0.2, retryAllowance: 10, retryWindowS: 10, largestShift: 0.15 }
""".trimIndent()

/** True if processes are started with SIGHUP ignored, as nohup does; a JVM then ignores it for good. */
private val isHangUpIgnored: Boolean = File("/proc/self/status").takeIf { it.exists() }?.readLines().orEmpty()
    .firstOrNull { it.startsWith("SigIgn:") }
    ?.let { it.substringAfter(':').trim().toULong(HEXADECIMAL) and HANG_UP_MASK != 0UL } ?: false

private class GatewayUnderTest(folder: File) : AutoCloseable {
    private val file = folder.resolve("settings.yaml").apply { writeText(settings) }
    private val process = ProcessBuilder(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx96m", "-cp", System.getProperty("java.class.path"),
        "org.cardamomwharf.gateway.MainKt", "--settings", file.path,
    ).redirectErrorStream(true).start()
    private val output: BufferedReader = process.inputStream.bufferedReader()

    /** Returns the next line about [event]. */
    fun awaitEvent(event: String): String =
        generateSequence { output.readLine() }.firstOrNull { "\"event\":\"$event\"" in it } ?: error("no line: $event")

    fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor() shouldBe 0
    }

    /** Returns the exit code. */
    fun awaitExit(): Int {
        generateSequence { output.readLine() }.count()
        process.waitFor(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
        return process.exitValue()
    }

    override fun close() {
        process.destroyForcibly()
    }
}

class ProcessSignalsTest : FunSpec({
    // Guards against an operator or a supervisor that repeats a signal and so ends requests that are under way.
    test("`more signals during a stop don't shorten it`") {
        GatewayUnderTest(tempdir()).use { gateway ->
            gateway.awaitEvent("start")
            gateway.signal("HUP")
            if (!isHangUpIgnored) gateway.awaitEvent("reload")
            Socket(HOST, CALLER_PORT).use { socket ->
                val bytes = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".toByteArray()
                socket.getOutputStream().write(bytes, 0, bytes.size - 2)
                gateway.signal("TERM")
                gateway.awaitEvent("stop")
                listOf("TERM", "INT", "HUP").forEach { gateway.signal(it) }
                if (!isHangUpIgnored) gateway.awaitEvent("reload")
                socket.getOutputStream().write(bytes, bytes.size - 2, 2)
                socket.getInputStream().bufferedReader().readText() shouldStartWith "HTTP/1.1 "
            }
            gateway.awaitEvent("stopped") shouldContain "\"connections\":0"
            gateway.awaitExit() shouldBe STOP_SIGNAL_EXIT
        }
    }

    // Guards against a hook that waits for the start that exits, or that stops what was never started.
    test("`a start that fails ends with its exit code`") {
        ServerSocket(CALLER_PORT, 1, InetAddress.getByName(HOST)).use {
            GatewayUnderTest(tempdir()).use { gateway ->
                gateway.awaitEvent("start-failed") shouldNotBe ""
                gateway.awaitExit() shouldBe EXIT_START
            }
        }
    }
})
