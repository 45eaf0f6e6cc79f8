/*
 * The subcommands and their own options; shared options are declared in WharfCommand and EnvironmentCommand.
 */
package org.cardamomwharf.cli

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Drain
import org.cardamomwharf.document.readDocument
import org.cardamomwharf.repository.EnvironmentName
import java.nio.file.Path

@OptIn(ExperimentalCli::class)
internal class CheckCommand : WharfCommand("check", "Check a document. Example: wharf check --file document.yaml") {
    private val file by option(ArgType.String, "file", description = "Document in YAML").required()

    override fun run(): Result<Report, CommandError> = readFile(file).map { document ->
        val services = document.services.size
        val zones = document.regions.sumOf { it.zones.size }
        val blocks = document.clientBlocks.size
        val text = "${document.deployment}: $services services, $zones zones, $blocks client blocks."
        Report(text, JsonPrimitive(text))
    }
}

@OptIn(ExperimentalCli::class)
internal class SubmitCommand :
    EnvironmentCommand("submit", "Submit a document to trial. Example: wharf submit --file document.yaml") {
    private val file by option(ArgType.String, "file", description = "Document in YAML").required()
    private val expected by option(ArgType.Int, "expect", description = "Trial version that must be current")

    override fun run(): Result<Report, CommandError> =
        readFile(file).flatMap { environments().submit(it, toDocumentVersion(expected), createAction()) }
}

@OptIn(ExperimentalCli::class)
internal class PromoteCommand :
    EnvironmentCommand("promote", "Promote a trial version. Example: wharf promote --trial 3 --expect 7") {
    private val trial by option(ArgType.Int, "trial", description = "Trial version to promote").required()
    private val expected by option(ArgType.Int, "expect", description = "Production version that must be current")

    override fun run(): Result<Report, CommandError> =
        environments().promote(DocumentVersion(trial.toLong()), toDocumentVersion(expected), createAction())
}

@OptIn(ExperimentalCli::class)
internal class DrainCommand :
    EnvironmentCommand("drain", "Drain a zone. Example: wharf drain --zone mazowsze-a --service stan") {
    private val zone by option(ArgType.String, "zone", description = "Zone to drain").required()
    private val service by option(ArgType.String, "service", description = "Drain only this service")
    private val startsAt by option(ArgType.Int, "starts-at", description = "Start, Unix time in seconds").default(0)
    private val endsAt by option(ArgType.Int, "ends-at", description = "End, Unix time in seconds").default(0)

    override fun run(): Result<Report, CommandError> {
        val drain = Drain(ZoneName(zone), service?.let(::ServiceName), startsAt.toLong(), endsAt.toLong())
        return environments().changeDrains("drain $zone", createAction()) { drains -> (drains - drain) + drain }
    }
}

@OptIn(ExperimentalCli::class)
internal class UndrainCommand :
    EnvironmentCommand("undrain", "End the drains of a zone. Example: wharf undrain --zone mazowsze-a") {
    private val zone by option(ArgType.String, "zone", description = "Zone to undrain").required()

    override fun run(): Result<Report, CommandError> =
        environments().changeDrains("undrain $zone", createAction()) { drains ->
            drains.filter { it.zone.value != zone }
        }
}

@OptIn(ExperimentalCli::class)
internal class HistoryCommand :
    EnvironmentCommand("history", "List the accepted versions. Example: wharf history --environment trial") {
    private val environment by option(ArgType.String, "environment", description = "trial or production")
        .default(EnvironmentName.PRODUCTION.value)

    override fun run(): Result<Report, CommandError> = environments().history(EnvironmentName(environment))
}

@OptIn(ExperimentalCli::class)
internal class DiffCommand :
    EnvironmentCommand("diff", "Compare a document with production. Example: wharf diff --file document.yaml") {
    private val file by option(ArgType.String, "file", description = "Document in YAML").required()
    private val environment by option(ArgType.String, "environment", description = "trial or production")
        .default(EnvironmentName.PRODUCTION.value)

    override fun run(): Result<Report, CommandError> = readFile(file).flatMap { document ->
        environments().read(EnvironmentName(environment), version = null).map { current ->
            val differences = compareDocuments(current, document)
            val lines = differences.joinToString("\n") { "${it.path}: ${it.before ?: "-"} -> ${it.after ?: "-"}" }
            Report(lines.ifEmpty { "No difference." }, Json.encodeToJsonElement(differences))
        }
    }
}

@OptIn(ExperimentalCli::class)
internal class StatusCommand :
    WharfCommand("status", "Show entry instances. Example: wharf status --entries 127.0.0.1:8201,127.0.0.2:8201") {
    private val entries by option(ArgType.String, "entries", description = "Admin addresses, comma-separated")
        .required()

    override fun run(): Result<Report, CommandError> =
        useClient { EntryQueries(it).status(entries.split(',')) }
}

@OptIn(ExperimentalCli::class)
internal class ExplainCommand :
    WharfCommand("explain", "Explain the ranking for a client. Example: wharf explain --entry 127.0.0.1:8201 ...") {
    private val entry by option(ArgType.String, "entry", description = "Admin address of an entry instance").required()
    private val service by option(ArgType.String, "service", description = "Service").required()
    private val client by option(ArgType.String, "client", description = "Client address").required()

    override fun run(): Result<Report, CommandError> =
        useClient { EntryQueries(it).explain(entry, service, client) }
}

private fun toDocumentVersion(number: Int?): DocumentVersion? = number?.let { DocumentVersion(it.toLong()) }

private fun readFile(file: String) =
    readDocument(Path.of(file)).mapError { CommandError.Invalid(file, it) }.flatMap { Ok(it) }
