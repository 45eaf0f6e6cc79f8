/*
 * Entry point of `wharf-standin`, the command line of the stand-ins. One process can run several backend servers.
 */
package org.cardamomwharf.standin

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.http.JettyServer
import org.cardamomwharf.logging.ComponentLog
import org.cardamomwharf.logging.LogFormat
import org.cardamomwharf.logging.configureLogs
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_NOT_READY = 9
private const val DEFAULT_AWAIT_SECONDS = 30
private const val DEFAULT_SLOTS = 4
private const val DEFAULT_SERVICE_MS = 10
private const val DEFAULT_RESPONSE_BYTES = 256
private val log = ComponentLog("standin")

/** Parses the arguments and runs the subcommand they name. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    configureLogs(LogFormat.PLAIN)
    val parser = ArgParser("wharf-standin")
    parser.subcommands(PlatformCommand(), ServerCommand(), AwaitCommand())
    parser.parse(args)
}

private fun parseAddress(text: String): SocketAddress = SocketAddress.parse(text) ?: run {
    log.warn("$text is not a valid address, expected host:port")
    exitProcess(EXIT_USAGE)
}

private fun serveUntilStopped(servers: List<JettyServer>) {
    Runtime.getRuntime().addShutdownHook(Thread { servers.forEach { it.stop() } })
    Thread.currentThread().join()
}

@OptIn(ExperimentalCli::class)
private class PlatformCommand : Subcommand("platform", "Run the table service, object store and instance list.") {
    private val listen by option(ArgType.String, "listen", description = "Address, host:port").required()
    private val instances by option(ArgType.String, "instances", description = "Initial instance list, JSON file")

    override fun execute() {
        val standin = PlatformStandin()
        instances?.let { standin.addInstances(Files.readString(Path.of(it))) }
        val server = standin.start(parseAddress(listen))
        log.info("Platform listening on $listen.")
        serveUntilStopped(listOf(server))
    }
}

@OptIn(ExperimentalCli::class)
private class ServerCommand : Subcommand("server", "Run backend servers.") {
    private val listen by option(ArgType.String, "listen", description = "Addresses, host:port, comma-separated")
        .required()
    private val names by option(ArgType.String, "name", description = "Names, comma-separated").required()
    private val slots by option(ArgType.Int, "slots", description = "Concurrent requests").default(DEFAULT_SLOTS)
    private val serviceMs by option(ArgType.Int, "service-ms", description = "Processing time of a request")
        .default(DEFAULT_SERVICE_MS)
    private val coldMs by option(ArgType.Int, "cold-ms", description = "Duration of the cold start").default(0)
    private val responseBytes by option(ArgType.Int, "answer-bytes", description = "Response size")
        .default(DEFAULT_RESPONSE_BYTES)

    override fun execute() {
        val servers = names.split(',').zip(listen.split(',')).map { (serverName, address) ->
            val behaviour = ServerBehaviour(serverName, slots, serviceMs.toLong(), coldMs.toLong(), responseBytes)
            ServerStandin(behaviour).start(parseAddress(address))
        }
        log.info("Servers $names listening on $listen.")
        serveUntilStopped(servers)
    }
}

@OptIn(ExperimentalCli::class)
private class AwaitCommand : Subcommand("await", "Wait until all URLs respond with status 200.") {
    private val urls by option(ArgType.String, "urls", description = "URLs to poll, comma-separated").required()
    private val seconds by option(ArgType.Int, "seconds", description = "Maximum wait").default(DEFAULT_AWAIT_SECONDS)

    override fun execute() {
        val isReady = awaitUrls(urls.split(','), seconds)
        exitProcess(if (isReady) 0 else EXIT_NOT_READY)
    }
}
