/*
 * Entry point of `wharf-load`, the command line that generates load, compares paths and writes reports.
 */
package org.cardamomwharf.load

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.Level
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.startJettyHttpClient
import org.cardamomwharf.load.compare.CompareCommand
import org.cardamomwharf.load.report.ReportCommand
import org.cardamomwharf.logging.LogFormat
import org.cardamomwharf.logging.configureLogs
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_VIOLATION = 10
private const val DEFAULT_SECONDS = 10
private const val DEFAULT_DEADLINE_MS = 2_000
private const val MS_PER_SECOND = 1_000L

/** Parses the arguments and runs the subcommand they name. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    configureLogs(LogFormat.PLAIN, Level.WARN)
    val parser = ArgParser("wharf-load")
    parser.subcommands(RunCommand(), CompareCommand(), ReportCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}

@OptIn(ExperimentalCli::class)
private class RunCommand : Subcommand(
    "run",
    "Run load. Example: wharf-load run --entries 127.0.0.1:8001 --clients 127.10.0.1 --services stan:read:50",
) {
    private val entries by option(ArgType.String, "entries", description = "Caller addresses, comma-separated")
        .required()
    private val clients by option(ArgType.String, "clients", description = "Client addresses, comma-separated")
        .required()
    private val services by option(ArgType.String, "services", description = "service:kind:rate, comma-separated")
        .required()
    private val seconds by option(ArgType.Int, "seconds", description = "Duration of the run").default(DEFAULT_SECONDS)
    private val deadlineMs by option(ArgType.Int, "deadline-ms", description = "Deadline of a request")
        .default(DEFAULT_DEADLINE_MS)
    private val seed by option(ArgType.Int, "seed", description = "Seed, part of the idempotency keys").default(1)
    private val servers by option(ArgType.String, "servers", description = "Server stand-ins to audit, comma-separated")
        .default("")
    private val out by option(ArgType.String, "out", description = "File for the JSON result")
    private val isStrict by option(ArgType.Boolean, "strict", description = "Fail unless every request ran")
        .default(false)

    override fun execute() {
        val client = startJettyHttpClient(HttpClientSettings("load"))
        val result = client.use { runPlan(it, plan()) }
        println(result.toText())
        out?.let { Files.writeString(Path.of(it), Json.encodeToString(result)) }
        exitProcess(if (isPassed(result)) 0 else EXIT_VIOLATION)
    }

    private fun plan(): LoadPlan = LoadPlan(
        entries = entries.split(','),
        clients = clients.split(','),
        services = services.split(',').map { LoadPlan.parseService(it) ?: fail(it) },
        durationMs = seconds * MS_PER_SECOND,
        deadlineMs = deadlineMs.toLong(),
        seed = seed.toLong(),
    )

    private fun runPlan(client: HttpClient, plan: LoadPlan): LoadResult {
        val clock = monotonicClock()
        val standin = CallerStandin(client, LookupCache(client, clock, plan.entries), clock, plan.deadlineMs)
        val result = LoadRun(plan, standin, clock).run()
        val auditedServers = servers.split(',').filter { it.isNotEmpty() }
        return result.copy(keysRunTwice = countKeysRunTwice(client, auditedServers))
    }

    private fun isPassed(result: LoadResult): Boolean {
        val isCorrect = result.services.all { it.wrongResponses == 0L } && result.keysRunTwice == 0
        return isCorrect && (!isStrict || result.services.all { it.ran == it.requests })
    }

    private fun fail(text: String): Nothing {
        System.err.println("$text does not have the form service:kind:rate")
        exitProcess(EXIT_USAGE)
    }
}
