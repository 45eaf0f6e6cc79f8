/*
 * A gateway as a process of its own, which can be killed, paused, stopped and started again.
 */
package org.cardamomwharf.soak

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val STOP_LIMIT_S = 30L

/** Represents an instance at [host], whose way to the store begins at [storeAddress]. */
class GatewayHandle(
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

    /** True while the process runs; one whose addresses are taken ends by itself. */
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

    /** Starts the process unless it runs, as two faults may both start it; its log is appended to a file. */
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

    /** Asks the process to stop and waits until it has ended. */
    fun stop() {
        val running = process ?: return
        running.destroy()
        if (!running.waitFor(STOP_LIMIT_S, TimeUnit.SECONDS)) running.destroyForcibly().waitFor()
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    fun freeze() = signal("-STOP")

    fun thaw() = signal("-CONT")

    private fun signal(name: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", name, running.pid().toString()).start().waitFor()
    }
}
