/*
 * Reads and changes environments, for the commands submit, promote, drain, undrain, history and diff.
 */
package org.cardamomwharf.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.encodeToJsonElement
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.document.Drain
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.findDrainProblems
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.EnvironmentHeads
import org.cardamomwharf.repository.EnvironmentName
import org.cardamomwharf.repository.HeadChange
import org.cardamomwharf.repository.HeadEntry
import org.cardamomwharf.repository.RepositoryError

/** Represents the author, the time and the attempt id of a change to an environment. */
public data class OperatorAction(
    public val operator: String,
    public val attempt: AttemptId,
    public val epochSeconds: Long,
)

/** Reads and changes the environments of a deployment. */
public class Environments(private val heads: EnvironmentHeads, private val archive: DocumentArchive) {
    /** Stores [document] as the next version of the trial environment; a null [expected] means the current one. */
    public fun submit(
        document: EnvironmentDocument,
        expected: DocumentVersion?,
        action: OperatorAction,
    ): Result<Report, CommandError> =
        archive.store(document)
            .flatMap { hash -> moveHead(hash, EnvironmentName.TRIAL, expected, action, "submit") }
            .mapError(::commandErrorFor)
            .map { createReport("Submitted to trial", it) }

    /** Makes version [trialVersion] of the trial environment the next version of production. */
    public fun promote(
        trialVersion: DocumentVersion,
        expected: DocumentVersion?,
        action: OperatorAction,
    ): Result<Report, CommandError> =
        findEntry(EnvironmentName.TRIAL, trialVersion)
            .flatMap { trialEntry -> checkRemovedZones(trialEntry.hash, expected).map { trialEntry } }
            .flatMap { trialEntry ->
                val note = "promote trial ${trialEntry.version.value}"
                moveHead(trialEntry.hash, EnvironmentName.PRODUCTION, expected, action, note)
                    .mapError(::commandErrorFor)
            }
            .map { createReport("Promoted to production", it) }

    /** Checks that every zone that the document with [hash] removes was stopped before. */
    private fun checkRemovedZones(hash: String, expected: DocumentVersion?): Result<Unit, CommandError> =
        heads.find(EnvironmentName.PRODUCTION)
            .flatMap { head ->
                val before = head?.entries?.firstOrNull { expected == null || it.version == expected }
                if (before == null) Ok(emptyList()) else archive.findUnstoppedZones(before.hash, hash)
            }
            .mapError(::commandErrorFor)
            .flatMap { if (it.isEmpty()) Ok(Unit) else Err(CommandError.ZonesNotStopped(it)) }

    /** Applies [change] to the drains of production and stores the result as its next version. */
    public fun changeDrains(
        note: String,
        action: OperatorAction,
        change: (List<Drain>) -> List<Drain>,
    ): Result<Report, CommandError> =
        findNewest(EnvironmentName.PRODUCTION).flatMap { newest ->
            archive.readWithBlocks(newest.hash)
                .mapError(::commandErrorFor)
                .flatMap { checkDrains(it.copy(drains = change(it.drains))) }
                .flatMap { document ->
                    archive.store(document)
                        .flatMap { moveHead(it, EnvironmentName.PRODUCTION, newest.version, action, note) }
                        .mapError(::commandErrorFor)
                }
                .map { createReport("In force soon", it) }
        }

    /** Returns the accepted versions of [environment], newest first. */
    public fun history(environment: EnvironmentName): Result<Report, CommandError> =
        heads.find(environment).mapError(::commandErrorFor).map { head ->
            val entries = head?.entries.orEmpty()
            val lines = entries.joinToString("\n") { entry ->
                "${entry.version.value}  ${entry.hash.take(SHORT_HASH_CHARACTERS)}  ${entry.operator}  ${entry.note}"
            }
            Report(lines.ifEmpty { "No version has been accepted yet." }, Json.encodeToJsonElement(entries))
        }

    /** Returns the document of [version], or of the newest version, in [environment] with its client blocks. */
    public fun read(
        environment: EnvironmentName,
        version: DocumentVersion?,
    ): Result<EnvironmentDocument, CommandError> =
        (if (version == null) findNewest(environment) else findEntry(environment, version))
            .flatMap { archive.readWithBlocks(it.hash).mapError(::commandErrorFor) }

    private fun moveHead(
        hash: String,
        environment: EnvironmentName,
        expected: DocumentVersion?,
        action: OperatorAction,
        note: String,
    ): Result<HeadEntry, RepositoryError> =
        heads.find(environment).flatMap { head ->
            val version = expected ?: head?.newest?.version ?: DocumentVersion.NONE
            val before = head?.entries?.firstOrNull { it.version == version }
            val change = HeadChange(
                environment = environment,
                expected = version,
                attempt = action.attempt,
                operator = action.operator,
                note = note,
                epochSeconds = action.epochSeconds,
                hasSameCaps = before != null && archive.haveSameCaps(before.hash, hash),
            )
            heads.move(hash, change)
        }

    private fun findNewest(environment: EnvironmentName): Result<HeadEntry, CommandError> =
        heads.find(environment).mapError(::commandErrorFor).flatMap { head ->
            if (head == null) Err(CommandError.Missing("document in ${environment.value}")) else Ok(head.newest)
        }

    private fun findEntry(environment: EnvironmentName, version: DocumentVersion): Result<HeadEntry, CommandError> =
        heads.find(environment).mapError(::commandErrorFor).flatMap { head ->
            val entry = head?.entries?.firstOrNull { it.version == version }
            entry?.let { Ok(it) } ?: Err(CommandError.Missing("version ${version.value} in ${environment.value}"))
        }

    private fun createReport(verb: String, entry: HeadEntry): Report = Report(
        "$verb as version ${entry.version.value}, contents ${entry.hash.take(SHORT_HASH_CHARACTERS)}.",
        Json.encodeToJsonElement(entry),
    )

    private companion object {
        const val SHORT_HASH_CHARACTERS = 12
    }
}

private fun checkDrains(document: EnvironmentDocument): Result<EnvironmentDocument, CommandError> {
    val problems = document.findDrainProblems()
    return if (problems.isEmpty()) Ok(document) else Err(CommandError.DrainsInvalid(problems))
}
