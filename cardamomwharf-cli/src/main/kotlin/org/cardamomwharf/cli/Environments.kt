/*
 * The commands that read and change environments: submit, promote, drain, undrain, history, diff.
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

/** Represents who changes an environment, and under which attempt. */
public data class OperatorAct(
    public val operator: String,
    public val attempt: AttemptId,
    public val epochSeconds: Long,
)

/** Represents the environments of a deployment. */
public class Environments(private val heads: EnvironmentHeads, private val archive: DocumentArchive) {
    /** Stores [document] as the next version of the trial environment; [expected] is null for whatever is newest. */
    public fun submit(
        document: EnvironmentDocument,
        expected: DocumentVersion?,
        act: OperatorAct,
    ): Result<Report, CommandError> =
        archive.store(document)
            .flatMap { hash -> move(hash, EnvironmentName.TRIAL, expected, act, "submit") }
            .mapError(::commandErrorOf)
            .map { reportOf("Submitted to trial", it) }

    /** Makes version [trialVersion] of trial the next version of production. */
    public fun promote(
        trialVersion: DocumentVersion,
        expected: DocumentVersion?,
        act: OperatorAct,
    ): Result<Report, CommandError> =
        findEntry(EnvironmentName.TRIAL, trialVersion)
            .flatMap { tried -> checkZones(tried.hash, expected).map { tried } }
            .flatMap { tried ->
                val note = "promote trial ${tried.version.value}"
                move(tried.hash, EnvironmentName.PRODUCTION, expected, act, note).mapError(::commandErrorOf)
            }
            .map { reportOf("Promoted to production", it) }

    /** Checks that every zone that the document under [hash] leaves out was stopped before. */
    private fun checkZones(hash: String, expected: DocumentVersion?): Result<Unit, CommandError> =
        heads.find(EnvironmentName.PRODUCTION)
            .flatMap { head ->
                val before = head?.entries?.firstOrNull { expected == null || it.version == expected }
                if (before == null) Ok(emptyList()) else archive.findUnstoppedZones(before.hash, hash)
            }
            .mapError(::commandErrorOf)
            .flatMap { if (it.isEmpty()) Ok(Unit) else Err(CommandError.ZonesNotStopped(it)) }

    /** Changes the drains of production and makes the result its next version. */
    public fun changeDrains(
        note: String,
        act: OperatorAct,
        change: (List<Drain>) -> List<Drain>,
    ): Result<Report, CommandError> =
        findNewest(EnvironmentName.PRODUCTION).flatMap { newest ->
            archive.readWithBlocks(newest.hash)
                .mapError(::commandErrorOf)
                .flatMap { checkDrains(it.copy(drains = change(it.drains))) }
                .flatMap { document ->
                    archive.store(document)
                        .flatMap { move(it, EnvironmentName.PRODUCTION, newest.version, act, note) }
                        .mapError(::commandErrorOf)
                }
                .map { reportOf("In force soon", it) }
        }

    /** Returns the accepted documents of [environment], the newest first. */
    public fun history(environment: EnvironmentName): Result<Report, CommandError> =
        heads.find(environment).mapError(::commandErrorOf).map { head ->
            val entries = head?.entries.orEmpty()
            val lines = entries.joinToString("\n") { entry ->
                "${entry.version.value}  ${entry.hash.take(SHORT_HASH)}  ${entry.operator}  ${entry.note}"
            }
            Report(lines.ifEmpty { "Nothing was accepted yet." }, Json.encodeToJsonElement(entries))
        }

    /** Returns the whole document of [version] in [environment]. */
    public fun read(
        environment: EnvironmentName,
        version: DocumentVersion?,
    ): Result<EnvironmentDocument, CommandError> =
        (if (version == null) findNewest(environment) else findEntry(environment, version))
            .flatMap { archive.readWithBlocks(it.hash).mapError(::commandErrorOf) }

    private fun move(
        hash: String,
        environment: EnvironmentName,
        expected: DocumentVersion?,
        act: OperatorAct,
        note: String,
    ): Result<HeadEntry, RepositoryError> =
        heads.find(environment).flatMap { head ->
            val version = expected ?: head?.newest?.version ?: DocumentVersion.NONE
            val before = head?.entries?.firstOrNull { it.version == version }
            val change = HeadChange(
                environment = environment,
                expected = version,
                attempt = act.attempt,
                operator = act.operator,
                note = note,
                epochSeconds = act.epochSeconds,
                hasSameCaps = before != null && archive.haveSameCaps(before.hash, hash),
            )
            heads.move(hash, change)
        }

    private fun findNewest(environment: EnvironmentName): Result<HeadEntry, CommandError> =
        heads.find(environment).mapError(::commandErrorOf).flatMap { head ->
            if (head == null) Err(CommandError.Missing("document in ${environment.value}")) else Ok(head.newest)
        }

    private fun findEntry(environment: EnvironmentName, version: DocumentVersion): Result<HeadEntry, CommandError> =
        heads.find(environment).mapError(::commandErrorOf).flatMap { head ->
            val entry = head?.entries?.firstOrNull { it.version == version }
            entry?.let { Ok(it) } ?: Err(CommandError.Missing("version ${version.value} in ${environment.value}"))
        }

    private fun reportOf(verb: String, entry: HeadEntry): Report = Report(
        "$verb as version ${entry.version.value}, contents ${entry.hash.take(SHORT_HASH)}.",
        Json.encodeToJsonElement(entry),
    )

    private companion object {
        const val SHORT_HASH = 12
    }
}

private fun checkDrains(document: EnvironmentDocument): Result<EnvironmentDocument, CommandError> {
    val faults = document.findDrainProblems()
    return if (faults.isEmpty()) Ok(document) else Err(CommandError.DrainsInvalid(faults))
}
