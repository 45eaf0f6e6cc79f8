/*
 * Runs a gateway as a separate process that can be killed, paused, stopped and restarted.
 */
package org.cardamomwharf.soak

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val STOP_TIMEOUT_S = 30L

/** Represents the process of an instance at [host] that reaches the store through [storeAddress]. */
class GatewayProcess(
    val name: String,
    val zone: String,
    private val host: String,
    private val storeAddress: String,
    private val folder: Path,
) {
    val callerAddress: String = "$host:8000"
    val directoryAddress: String = "$host:8002"

    /** Counts the starts of the process. */
    val incarnation = AtomicInteger()

    @Volatile
    private var process: Process? = null

    /** Whether the process is running; a process exits if its addresses are in use. */
    val isRunning: Boolean get() = process?.isAlive == true

    private val settings = """
        instance: "$name"
        zone: "$zone"
        zones:
          - { name: "a1", region: "a" }
          - { name: "a2", region: "a" }
          - { name: "b1", region: "b" }
        addresses:
          caller: "$callerAddress"
          ready: "$host:8001"
          directory: "$directoryAddress"
          store: "$storeAddress"
          host: "$host"
        internalPorts: [8100, 8115]
        bounds:
          stopS: 6
          retryRatio: 0.2
          retryAllowance: 60
          retryWindowS: 10
          largestShift: 0.15
    """.trimIndent()

    /** Starts the process unless it is running, because two faults may restart it; appends its output to a log file. */
    @Synchronized
    fun start() {
        if (isRunning) return
        val file = folder.resolve("$name.yaml")
        Files.writeString(file, settings)
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        incarnation.incrementAndGet()
        process = ProcessBuilder(
            java, "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx96m", "-Xss256k", "-Xshare:auto",
            "-cp", System.getProperty("java.class.path"),
            "org.cardamomwharf.gateway.MainKt", "--settings", file.toString(),
        ).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("$name.log").toFile()))
            .start()
    }

    /** Stops the process gracefully and waits until it has exited. */
    fun stop() {
        val running = process ?: return
        running.destroy()
        if (!running.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) running.destroyForcibly().waitFor()
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    fun pause() = signal("-STOP")

    fun resume() = signal("-CONT")

    private fun signal(name: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", name, running.pid().toString()).start().waitFor()
    }
}
