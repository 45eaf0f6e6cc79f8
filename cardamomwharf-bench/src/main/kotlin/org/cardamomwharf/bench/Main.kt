/*
 * The command line of the benchmarks.
 */
package org.cardamomwharf.bench

import com.github.michaelbull.result.getOrThrow
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.bench.paths.measureHotPaths
import org.cardamomwharf.bench.policy.printPolicyBench
import org.cardamomwharf.bench.process.FleetShape
import org.cardamomwharf.bench.process.measureProcesses
import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.document.readDocument
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("bench")
    parser.subcommands(PolicyCommand(), CheckCommand(), ProcessCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}

@OptIn(ExperimentalCli::class)
private class PolicyCommand : Subcommand("policy", "Compare the policy with baselines in virtual time.") {
    private val document by option(ArgType.String, "document", description = "Document in YAML")
        .default("examples/wisla/document.yaml")
    private val seed by option(ArgType.Int, "seed", description = "Seed of the run").default(1)
    private val case by option(ArgType.String, "case", description = "Run only this case")
    private val objective by option(ArgType.Choice<Objective>(), "objective", description = "Overrides the document")
    private val out by option(ArgType.String, "out", description = "Output file for the counts in JSON")

    override fun execute() {
        val parsed = readDocument(Path.of(document)).getOrThrow { IllegalArgumentException(it.joinToString("\n")) }
        val counts = printPolicyBench(parsed.copy(objective = objective ?: parsed.objective), seed.toLong(), case)
        out?.let { Files.writeString(Path.of(it), Json.encodeToString(counts)) }
    }
}

@OptIn(ExperimentalCli::class)
private class CheckCommand : Subcommand("check", "Measure the hot paths and compare them with the stated targets.") {
    override fun execute() {
        val results = measureHotPaths()
        results.forEach { println(it) }
        exitProcess(if (results.all { it.isWithinBound }) 0 else EXIT_ABOVE_BOUND)
    }
}

@OptIn(ExperimentalCli::class)
private class ProcessCommand : Subcommand("process", "Measure the processor time of gateway processes.") {
    private val instances by option(ArgType.Int, "instances", description = "Number of processes")
        .default(FleetShape().instances)
    private val servers by option(ArgType.Int, "servers", description = "Number of backend servers")
        .default(FleetShape().servers)
    private val deploy by option(ArgType.String, "deploy", description = "Deploy file that holds the start command")
        .default("deploy/system.toml")
    private val folder by option(ArgType.String, "folder", description = "Log folder")
        .default("target/process-cost")

    override fun execute() {
        measureProcesses(FleetShape(instances, servers), Path.of(deploy), Path.of(folder)).forEach { println(it) }
    }
}

private const val EXIT_ABOVE_BOUND = 11
