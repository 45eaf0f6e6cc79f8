/*
 * Runs an entry instance as a separate process that can be killed, paused and stopped.
 */
package org.cardamomwharf.dist.support

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val STOP_TIMEOUT_S = 60L

class EntryProcess(
    val name: String,
    val zone: String,
    number: Int,
    private val folder: Path,
    connections: EntryConnections,
) {
    val host: String = "127.0.3.$number"
    val callerAddress: String = "$host:8000"
    val adminAddress: String = "$host:8200"
    private val settings = """
        name: $name
        zone: $zone
        callerAddress: $callerAddress
        peerAddress: $host:8100
        advertisedPeerAddress: ${connections.advertisedPeer}
        adminAddress: $adminAddress
        platformAddress: ${connections.platform}
        logFormat: plain
        isClientHeaderTrusted: true
        times:
          headPollMs: 300
          listPollMs: 300
          loadPollMs: 20
          platformLimitMs: 700
        membership:
          heartbeatIntervalMs: 200
          leaseMs: 1500
          guardMs: 700
          joinWaitMs: 1000
          summaryMaxAgeMs: 3000
    """.trimIndent()
    private var process: Process? = null

    val log: String get() = Files.readString(logFile)

    private val logFile: Path get() = folder.resolve("$name.log")

    fun start() {
        val file = folder.resolve("$name.yaml")
        Files.writeString(file, settings)
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        process = ProcessBuilder(
            java, "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx128m", "-Xshare:auto",
            "-cp", System.getProperty("java.class.path"),
            "org.cardamomwharf.entry.MainKt", "--settings", file.toString(),
        ).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile())).start()
    }

    /** Stops the process gracefully without waiting for its exit. */
    fun terminate() {
        process?.destroy()
    }

    fun awaitExit(): Int {
        val running = process ?: return 0
        if (!running.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) running.destroyForcibly()
        return running.waitFor()
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    fun pause() = signal("-STOP")

    fun resume() = signal("-CONT")

    private fun signal(name: String) {
        val pid = process?.pid() ?: return
        ProcessBuilder("kill", name, pid.toString()).start().waitFor()
    }
}
