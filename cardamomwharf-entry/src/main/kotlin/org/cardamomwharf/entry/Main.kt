/*
 * Command line of the entry daemon.
 */
package org.cardamomwharf.entry

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.cardamomwharf.document.yaml.Problem
import org.cardamomwharf.entry.settings.EntrySettings
import org.cardamomwharf.entry.settings.readEntrySettings
import org.cardamomwharf.logging.configureLogs
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_SETTINGS = 3

/** Starts the daemon, or prints all problems found in its settings. */
public fun main(args: Array<String>) {
    val parser = ArgParser("wharf-entry")
    val file by parser.option(ArgType.String, "settings", description = "Settings file in YAML").required()
    val isCheck by parser.option(ArgType.Boolean, "check", description = "Only check the settings").default(false)
    parser.parse(args)
    readEntrySettings(Path.of(file))
        .onFailure { printProblems(file, it) }
        .onSuccess { if (!isCheck) serve(it) }
}

private fun printProblems(file: String, problems: List<Problem>) {
    problems.forEach { System.err.println("$file:$it") }
    exitProcess(EXIT_SETTINGS)
}

private fun serve(settings: EntrySettings) {
    configureLogs(settings.logFormat)
    val process = EntryProcess(settings)
    Runtime.getRuntime().addShutdownHook(Thread({ process.stop() }, "stop"))
    process.start()
    process.awaitExit()
    exitProcess(0)
}
