/*
 * Base classes of the subcommands: output format and exit code, and for environment commands the platform and operator.
 */
package org.cardamomwharf.cli

import com.github.michaelbull.result.Result
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.startJettyHttpClient
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.EnvironmentHeads
import org.cardamomwharf.repository.httpObjectStore
import org.cardamomwharf.repository.httpTableService
import java.util.UUID
import kotlin.system.exitProcess

private const val PLATFORM_TIMEOUT_MS = 5_000L
private const val MS_PER_SECOND = 1_000L

/** Represents a subcommand; it prints its result and exits the process with the exit code of the result. */
@OptIn(ExperimentalCli::class)
internal abstract class WharfCommand(name: String, description: String) : Subcommand(name, description) {
    private val isJson by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    abstract fun run(): Result<Report, CommandError>

    override fun execute() {
        exitProcess(printResult(run(), isJson).number)
    }

    protected fun <T> useClient(use: (HttpClient) -> T): T = startJettyHttpClient(HttpClientSettings("wharf")).use(use)
}

/** Represents a subcommand that reads or changes an environment. */
@OptIn(ExperimentalCli::class)
internal abstract class EnvironmentCommand(name: String, description: String) : WharfCommand(name, description) {
    private val platform by option(ArgType.String, "platform", description = "Address of the platform").required()
    private val operator by option(ArgType.String, "operator", description = "Operator name recorded in the history")
        .default(System.getProperty("user.name").orEmpty())
    private val attempt by option(ArgType.String, "attempt", description = "Attempt id of an unconfirmed run")

    protected fun createAction(): OperatorAction = OperatorAction(
        operator = operator,
        attempt = AttemptId(attempt ?: UUID.randomUUID().toString()),
        epochSeconds = System.currentTimeMillis() / MS_PER_SECOND,
    )

    protected fun environments(): Environments {
        val address = SocketAddress.parse(platform) ?: run {
            System.err.println("$platform is not a valid address, expected host:port")
            exitProcess(ExitCode.USAGE.number)
        }
        val client = startJettyHttpClient(HttpClientSettings("platform"))
        val heads = EnvironmentHeads(httpTableService(client, address, PLATFORM_TIMEOUT_MS))
        return Environments(heads, DocumentArchive(httpObjectStore(client, address, PLATFORM_TIMEOUT_MS)))
    }
}
