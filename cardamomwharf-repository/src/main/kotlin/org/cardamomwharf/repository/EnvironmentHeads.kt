/*
 * Reads and updates the heads of environments. Each change is one compare-and-set; when changes conflict, the error
 * contains the entry in force. Version numbers never decrease: restoring an older document creates a new version.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion

private const val HEADS_TABLE = "heads"
private const val MAX_HISTORY_ENTRIES = 64
private const val MAX_OUTCOME_READS = 20
private const val OUTCOME_READ_INTERVAL_MS = 250L

/** Represents the heads of all environments. */
public class EnvironmentHeads(
    private val tables: TableService,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    /** Returns the head of [environment], or null when no document has been accepted there. */
    public fun find(environment: EnvironmentName): Result<EnvironmentHead?, RepositoryError> =
        readRow(environment).map { it?.head }

    /** Makes the document under [hash] the newest version of the environment of [change]. */
    public fun move(hash: String, change: HeadChange): Result<HeadEntry, RepositoryError> =
        readRow(change.environment).flatMap { row ->
            val current = row?.head?.newest?.version ?: DocumentVersion.NONE
            if (current == change.expected) {
                write(row, createEntry(hash, change, row?.head?.newest), change)
            } else {
                checkMovedHead(row, change)
            }
        }

    private fun createEntry(hash: String, change: HeadChange, predecessor: HeadEntry?): HeadEntry = HeadEntry(
        version = DocumentVersion(change.expected.value + 1),
        hash = hash,
        attempt = change.attempt,
        operator = change.operator,
        note = change.note,
        acceptedAtEpochSeconds = change.epochSeconds,
        capEpoch = getNextCapEpoch(predecessor, change.hasSameCaps),
    )

    private fun getNextCapEpoch(predecessor: HeadEntry?, hasSameCaps: Boolean): CapEpoch = when {
        predecessor == null -> CapEpoch.FIRST
        hasSameCaps -> predecessor.capEpoch
        else -> predecessor.capEpoch.next()
    }

    private fun write(row: HeadRow?, entry: HeadEntry, change: HeadChange): Result<HeadEntry, RepositoryError> {
        val entries = listOf(entry) + row?.head?.entries.orEmpty().take(MAX_HISTORY_ENTRIES - 1)
        return writeRow(row, Json.encodeToString(EnvironmentHead(entries)), change).mapBoth(
            success = { if (it is TableWrite.Written) Ok(entry) else resolveOutcome(change) },
            failure = { if (it is PlatformError.Lost) resolveOutcome(change) else Err(RepositoryError.Platform(it)) },
        )
    }

    private fun writeRow(row: HeadRow?, json: String, change: HeadChange): Result<TableWrite, PlatformError> {
        val key = change.environment.value
        return if (row == null) {
            tables.insert(HEADS_TABLE, key, json)
        } else {
            tables.replace(HEADS_TABLE, key, json, row.version)
        }
    }

    /**
     * Determines the outcome of a write that reported a conflict or whose response was lost. Reads the head until it is
     * newer than the version that [change] expects, because from then on the write can't take effect any more.
     */
    private fun resolveOutcome(change: HeadChange): Result<HeadEntry, RepositoryError> {
        repeat(MAX_OUTCOME_READS) {
            val row = readRow(change.environment).get()
            val isMoved = row != null && row.head.newest.version > change.expected
            if (isMoved) return checkMovedHead(row, change)
            pause(OUTCOME_READ_INTERVAL_MS)
        }
        return Err(RepositoryError.OutcomeUnknown(change.attempt))
    }

    private fun checkMovedHead(row: HeadRow?, change: HeadChange): Result<HeadEntry, RepositoryError> {
        val ownEntry = row?.head?.entries?.firstOrNull { it.attempt == change.attempt }
        return if (ownEntry != null) Ok(ownEntry) else Err(RepositoryError.Conflict(row?.head?.newest))
    }

    private fun readRow(environment: EnvironmentName): Result<HeadRow?, RepositoryError> =
        tables.read(HEADS_TABLE, environment.value)
            .mapError { RepositoryError.Platform(it) }
            .map { row -> row?.let { HeadRow(Json.decodeFromString(it.value), it.version) } }

    private data class HeadRow(val head: EnvironmentHead, val version: String)
}
