/*
 * The subcommand `report`, which writes a table and a plot from result files.
 */
package org.cardamomwharf.load.report

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.combine
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_INVALID = 3

/** Represents the subcommand `report`. */
@OptIn(ExperimentalCli::class)
public class ReportCommand : Subcommand(
    "report",
    "Write a table and a plot. Example: wharf-load report --inputs latency.json,headroom.json --out report",
) {
    private val inputs by option(ArgType.String, "inputs", description = "Results of bench policy, comma-separated")
        .required()
    private val out by option(ArgType.String, "out", description = "Directory for the report").default("report")
    private val title by option(ArgType.String, "title", description = "Title of the plot")
        .default("Latency and headroom")

    override fun execute() {
        val rows = inputs.split(',').map { readReportRows(Path.of(it)) }.combine().map { it.flatten() }
        exitProcess(writeOrFail(rows))
    }

    private fun writeOrFail(rows: Result<List<ReportRow>, ReportError>): Int = rows.mapBoth(
        success = { write(it) },
        failure = { error ->
            System.err.println(describe(error))
            EXIT_INVALID
        },
    )

    private fun write(rows: List<ReportRow>): Int {
        val directory = Path.of(out)
        Files.createDirectories(directory)
        Files.writeString(directory.resolve("report.md"), formatTable(rows))
        writeTradeOffPlot(rows, title, directory.resolve("trade.png"))
        println("Wrote ${rows.size} rows to $directory.")
        return 0
    }

    private fun describe(error: ReportError): String = when (error) {
        is ReportError.File -> "${error.path}: cannot be read"
        is ReportError.Contents -> "${error.path}: ${error.detail}"
    }
}
