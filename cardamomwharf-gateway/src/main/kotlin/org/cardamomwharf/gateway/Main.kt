/*
 * The command line of the gateway daemon.
 */
package org.cardamomwharf.gateway

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.document.yaml.Problem
import org.cardamomwharf.document.yaml.readText
import org.cardamomwharf.gateway.selftest.runSelfTest
import org.cardamomwharf.gateway.settings.GatewaySettings
import org.cardamomwharf.gateway.settings.readGatewaySettings
import org.cardamomwharf.logging.configureDecisionLog
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_SETTINGS = 3
private const val EXIT_SELF_TEST = 4
private const val EXIT_START = 5

/** Starts the daemon, or prints all problems found in its settings. */
public fun main(args: Array<String>) {
    val parser = ArgParser("wharf-gateway")
    val file by parser.option(ArgType.String, "settings", description = "Settings file in YAML")
    val variable by parser.option(
        ArgType.String,
        "settings-variable",
        description = "Environment variable with the path of the settings file",
    )
    val isCheck by parser.option(ArgType.Boolean, "check", description = "Check the settings and exit").default(false)
    val isSelfTest by parser.option(ArgType.Boolean, "self-test", description = "Serve a few requests on loopback")
        .default(false)
    parser.parse(args)
    if (isSelfTest) selfTest()
    val path = file ?: variable?.let { System.getenv(it) }
    if (path == null) {
        System.err.println("wharf-gateway: --settings or --settings-variable is required")
        exitProcess(EXIT_USAGE)
    }
    readGatewaySettings(Path.of(path))
        .onFailure { printProblems(path, it) }
        .onSuccess { if (!isCheck) serve(it, Path.of(path)) }
}

private fun selfTest(): Nothing {
    configureDecisionLog()
    exitProcess(if (runSelfTest()) 0 else EXIT_SELF_TEST)
}

private fun printProblems(file: String, problems: List<Problem>) {
    val lines = readText(Path.of(file)).getOrElse { "" }.lines()
    problems.forEach { problem ->
        System.err.println("$file:$problem")
        lines.getOrNull(problem.position.line - 1)?.let { System.err.println("    $it") }
    }
    exitProcess(EXIT_SETTINGS)
}

private fun serve(settings: GatewaySettings, settingsFile: Path) {
    configureDecisionLog()
    val process = GatewayProcess(settings)
    SignalledDaemon(process, monotonicClock()).start(JvmSignals) { process.reload(settingsFile) }
        .onFailure { exitProcess(EXIT_START) }
    CountDownLatch(1).await()
}
