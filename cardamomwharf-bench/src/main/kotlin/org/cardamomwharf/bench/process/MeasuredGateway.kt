/*
 * Runs a gateway process with the command of the deploy file and reads its processor time from the operating system.
 */
package org.cardamomwharf.bench.process

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val SETTINGS_VARIABLE = "CARDAMOMWHARF_SETTINGS"
private const val KILL_TIMEOUT_S = 5L
private val runCommand = Regex("""(?m)^run\s*=\s*"([^"]+)"""")

/** Returns the program and arguments of the run command in the deploy file [text]. */
internal fun readCommand(text: String): List<String> =
    checkNotNull(runCommand.find(text)) { "the deploy file has no run command" }.groupValues[1].split(' ')

/** Represents the process of an instance at [host] in [zone]; [zones] maps each zone to its region. */
internal class MeasuredGateway(
    private val name: String,
    private val zone: String,
    private val zones: Map<String, String>,
    private val host: String,
    private val storeAddress: String,
) {
    val callerAddress: String = "$host:8000"
    val readyAddress: String = "$host:8001"
    private lateinit var process: Process

    /** The processor time that the process has used. */
    val processorMs: Long get() = process.info().totalCpuDuration().map { it.toMillis() }.orElse(0L)

    /** Starts the process with [command] and writes its settings and log into [folder]. */
    fun start(command: List<String>, folder: Path) {
        val file = folder.resolve("$name.yaml")
        Files.writeString(file, settings())
        val builder = ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(folder.resolve("$name.log").toFile())
        builder.environment()[SETTINGS_VARIABLE] = file.toString()
        process = builder.start()
    }

    fun kill() {
        process.destroyForcibly().waitFor(KILL_TIMEOUT_S, TimeUnit.SECONDS)
    }

    private fun settings(): String = buildString {
        appendLine("instance: \"$name\"")
        appendLine("zone: \"$zone\"")
        appendLine("zones:")
        zones.forEach { (zone, region) -> appendLine("  - { name: \"$zone\", region: \"$region\" }") }
        appendLine("addresses:")
        appendLine("  caller: \"$callerAddress\"")
        appendLine("  ready: \"$readyAddress\"")
        appendLine("  directory: \"$host:8002\"")
        appendLine("  store: \"$storeAddress\"")
        appendLine("  host: \"$host\"")
        appendLine("internalPorts: [8100, 8115]")
        appendLine("bounds:")
        appendLine("  stopS: 6")
        appendLine("  retryRatio: 0.2")
        appendLine("  retryAllowance: 60")
        appendLine("  retryWindowS: 10")
        appendLine("  largestShift: 0.15")
    }
}
