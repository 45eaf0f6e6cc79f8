/*
 * Runs a gateway as a separate process that can be killed, paused, stopped and restarted.
 */
package org.cardamomwharf.soak

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val STOP_TIMEOUT_S = 30L
private const val OPENING_POLL_MS = 2L

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

    /** Exits of the process that no signal asked for. */
    val unexpectedExits = ConcurrentLinkedQueue<String>()

    @Volatile
    private var process: Process? = null

    /** Processes that were told to end. */
    private val ending = ConcurrentHashMap.newKeySet<Process>()

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
        changeSettings(isChanged = false)
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        incarnation.incrementAndGet()
        process = ProcessBuilder(
            java, "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx96m", "-Xss256k", "-Xshare:auto",
            "-cp", System.getProperty("java.class.path"),
            "org.cardamomwharf.gateway.MainKt", "--settings", file.toString(),
        ).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("$name.log").toFile()))
            .start().also { started ->
                started.onExit().thenAccept {
                    if (it !in ending) unexpectedExits.add("$name exited with ${it.exitValue()}")
                }
            }
    }

    /** Writes the settings; changed ones have another limit of retries. */
    fun changeSettings(isChanged: Boolean) {
        val content = if (isChanged) settings.replace("retryAllowance: 60", "retryAllowance: 61") else settings
        Files.writeString(folder.resolve("$name.yaml"), content)
    }

    /** Sends SIGTERM, with which the process stops gracefully. */
    fun terminate() {
        process?.also { ending.add(it) }?.destroy()
    }

    /** Waits until the process has exited, and ends it if it takes much too long. */
    fun awaitExit() {
        val running = process ?: return
        if (!running.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) running.destroyForcibly().waitFor()
    }

    /** Waits until the process accepts connections from callers or has exited. */
    fun awaitOpening() {
        while (isRunning && !isAccepting) Thread.sleep(OPENING_POLL_MS)
    }

    private val isAccepting: Boolean get() = connectCaller(this)?.close() != null

    fun kill() {
        process?.also { ending.add(it) }?.destroyForcibly()?.waitFor()
    }

    /**
     * Sends SIGHUP, with which the process reads its settings again; only to a process that has served or is about to,
     * because SIGHUP ends a JVM that hasn't begun to run the program.
     */
    fun hangUp() {
        val current = process
        if (current != null && (current in ending || isAccepting)) signal("-HUP", current)
    }

    fun pause() = signal("-STOP", process)

    fun resume() = signal("-CONT", process)

    private fun signal(name: String, target: Process?) {
        val running = target?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", name, running.pid().toString()).start().waitFor()
    }
}
