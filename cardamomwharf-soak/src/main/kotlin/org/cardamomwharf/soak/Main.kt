/*
 * The command line of the soak test.
 */
package org.cardamomwharf.soak

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.system.exitProcess

private const val DEFAULT_SECONDS = 30
private const val MS_PER_S = 1_000L

/** The first N of the networks 127.N.0.0/16; each parallel run uses its own. */
private const val FIRST_NETWORK = 40
private const val MAX_PRINTED_VIOLATIONS = 5

/** Runs one or more seeds, prints a line for each, and exits with 1 if a guarantee was violated. */
fun main(args: Array<String>) {
    val parser = ArgParser("soak")
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of the first run").default(1)
    val seeds by parser.option(ArgType.Int, "seeds", description = "Number of runs, with seeds that follow").default(1)
    val seconds by parser.option(ArgType.Int, "for", description = "Seconds with callers in each run")
        .default(DEFAULT_SECONDS)
    val parallel by parser.option(ArgType.Int, "parallel", description = "Runs at the same time").default(1)
    val out by parser.option(ArgType.String, "out", description = "Folder for logs and reports").default("target/soak")
    parser.parse(args)
    val pool = Executors.newFixedThreadPool(parallel)
    val networks = ArrayBlockingQueue<Int>(parallel)
    repeat(parallel) { networks.add(FIRST_NETWORK + it) }
    val outcomes = (seed until seed + seeds).map { next ->
        pool.submit(
            Callable {
                val network = networks.take()
                runSeed(next.toLong(), seconds * MS_PER_S, network, Path.of(out, "seed-$next"))
                    .also { networks.put(network) }
            },
        )
    }.map { it.get() }
    pool.shutdown()
    val failed = outcomes.filter { it.violations.isNotEmpty() }
    println("${outcomes.size - failed.size} passed, ${failed.size} failed")
    exitProcess(if (failed.isEmpty()) 0 else 1)
}

/** Runs [seed] and returns the result; logs and the report are written into [folder]. */
fun runSeed(seed: Long, durationMs: Long, network: Int, folder: Path): SoakOutcome {
    Files.createDirectories(folder)
    val outcome = SoakRun(seed, durationMs, network, folder).use { it.run() }
    writeReport(outcome, folder)
    val served = outcome.calls.count { it.status in successStatuses }
    val lost = outcome.calls.count { it.isConnectionLost }
    val counts = "${outcome.plan.size} faults, ${outcome.stops.size} stops, $served of ${outcome.calls.size} served, " +
        "$lost closed without an answer"
    println("seed $seed: $counts, ${outcome.violations.size} broken")
    outcome.violations.take(MAX_PRINTED_VIOLATIONS).forEach { println("  ${it.guarantee}: ${it.detail}") }
    return outcome
}
