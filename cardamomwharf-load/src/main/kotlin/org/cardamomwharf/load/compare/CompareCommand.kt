/*
 * The subcommand `compare`, which measures the overhead of an entry instance against a direct connection.
 */
package org.cardamomwharf.load.compare

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.startJettyHttpClient
import kotlin.system.exitProcess

private const val DEFAULT_RATE = 200
private const val DEFAULT_PAIRS = 2_000
private const val EXIT_FAILURES = 10

/** Represents the subcommand `compare`. */
@OptIn(ExperimentalCli::class)
public class CompareCommand : Subcommand(
    "compare",
    "Compare a direct connection with an entry instance. " +
        "Example: wharf-load compare --server 127.0.2.1:9000 --entry 127.0.1.1:8000 --service stan",
) {
    private val server by option(ArgType.String, "server", description = "Address of a backend server").required()
    private val entry by option(ArgType.String, "entry", description = "Caller address of an instance").required()
    private val service by option(ArgType.String, "service", description = "Service of the server").required()
    private val client by option(ArgType.String, "client", description = "Client address").default("127.10.0.1")
    private val rate by option(ArgType.Int, "rate", description = "Pairs of requests per second").default(DEFAULT_RATE)
    private val pairs by option(ArgType.Int, "pairs", description = "Measured pairs of requests").default(DEFAULT_PAIRS)

    override fun execute() {
        val plan = ComparisonPlan(
            directUrl = "http://$server/item/1",
            entryUrl = "http://$entry/run/$service/item/1",
            client = client,
            pairsPerSecond = rate,
            warmUpPairs = pairs,
            pairs = pairs,
        )
        val comparison = startJettyHttpClient(HttpClientSettings("compare")).use { comparePaths(it, plan) }
        println("direct:  " + describe(comparison.direct))
        println("entry:   " + describe(comparison.entry))
        println("median through the entry instance: %.2f times the direct one".format(comparison.medianRatio))
        exitProcess(if (comparison.direct.failures + comparison.entry.failures == 0) 0 else EXIT_FAILURES)
    }

    private fun describe(times: PathTimes): String =
        "median ${times.medianUs} us, p99 ${times.p99Us} us, ${times.failures} failures"
}
