/*
 * Entry point of `wharf`, the command line for operators.
 */
package org.cardamomwharf.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.apache.logging.log4j.Level
import org.cardamomwharf.logging.LogFormat
import org.cardamomwharf.logging.configureLogs
import kotlin.system.exitProcess

/** Parses the arguments and runs the subcommand they name. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    configureLogs(LogFormat.PLAIN, Level.WARN)
    val parser = ArgParser("wharf")
    parser.subcommands(
        CheckCommand(),
        SubmitCommand(),
        PromoteCommand(),
        DrainCommand(),
        UndrainCommand(),
        HistoryCommand(),
        DiffCommand(),
        StatusCommand(),
        ExplainCommand(),
    )
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    exitProcess(ExitCode.USAGE.number)
}
