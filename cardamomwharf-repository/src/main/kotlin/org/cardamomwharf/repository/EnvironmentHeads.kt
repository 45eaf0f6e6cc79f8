/*
 * Reads and moves the heads of environments. Every change is one compare-and-set; who loses a race is told who won, and
 * nothing ever goes back to an older version: an older document becomes a new version.
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

private const val HEADS = "heads"
private const val LARGEST_HISTORY = 64
private const val LARGEST_SETTLING_READS = 20
private const val SETTLING_PAUSE_MS = 250L

/** Represents the heads of all environments. */
public class EnvironmentHeads(
    private val tables: TableService,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    /** Returns the head of [environment], or null when nothing was ever accepted there. */
    public fun find(environment: EnvironmentName): Result<EnvironmentHead?, RepositoryError> =
        readRow(environment).map { it?.head }

    /** Makes the document under [hash] the newest version of the environment of [change]. */
    public fun move(hash: String, change: HeadChange): Result<HeadEntry, RepositoryError> =
        readRow(change.environment).flatMap { row ->
            val current = row?.head?.newest?.version ?: DocumentVersion.NONE
            if (current == change.expected) {
                write(
                    row,
                    entryOf(hash, change, row?.head?.newest),
                    change
                )
            } else {
                settleMoved(row, change)
            }
        }

    private fun entryOf(hash: String, change: HeadChange, before: HeadEntry?): HeadEntry = HeadEntry(
        version = DocumentVersion(change.expected.value + 1),
        hash = hash,
        attempt = change.attempt,
        operator = change.operator,
        note = change.note,
        acceptedAtEpochSeconds = change.epochSeconds,
        capEpoch = epochAfter(before, change.hasSameCaps),
    )

    private fun epochAfter(before: HeadEntry?, hasSameCaps: Boolean): CapEpoch = when {
        before == null -> CapEpoch.FIRST
        hasSameCaps -> before.capEpoch
        else -> before.capEpoch.next()
    }

    private fun write(row: HeadRow?, entry: HeadEntry, change: HeadChange): Result<HeadEntry, RepositoryError> {
        val entries = listOf(entry) + row?.head?.entries.orEmpty().take(LARGEST_HISTORY - 1)
        return writeRow(row, Json.encodeToString(EnvironmentHead(entries)), change).mapBoth(
            success = { if (it is TableWrite.Written) Ok(entry) else settleLost(change) },
            failure = { if (it is PlatformError.Lost) settleLost(change) else Err(RepositoryError.Platform(it)) },
        )
    }

    private fun writeRow(row: HeadRow?, json: String, change: HeadChange): Result<TableWrite, PlatformError> {
        val key = change.environment.value
        return if (row == null) tables.insert(HEADS, key, json) else tables.replace(HEADS, key, json, row.version)
    }

    /**
     * Reads back until the head either has the attempt of [change] or has moved past the version it expected; from then
     * on the write can't take effect any more.
     */
    private fun settleLost(change: HeadChange): Result<HeadEntry, RepositoryError> {
        repeat(LARGEST_SETTLING_READS) {
            val row = readRow(change.environment).get()
            val isMoved = row != null && row.head.newest.version > change.expected
            if (isMoved) return settleMoved(row, change)
            pause(SETTLING_PAUSE_MS)
        }
        return Err(RepositoryError.OutcomeUnknown(change.attempt))
    }

    private fun settleMoved(row: HeadRow?, change: HeadChange): Result<HeadEntry, RepositoryError> {
        val mine = row?.head?.entries?.firstOrNull { it.attempt == change.attempt }
        return if (mine != null) Ok(mine) else Err(RepositoryError.Conflict(row?.head?.newest))
    }

    private fun readRow(environment: EnvironmentName): Result<HeadRow?, RepositoryError> =
        tables.read(HEADS, environment.value)
            .mapError { RepositoryError.Platform(it) }
            .map { row -> row?.let { HeadRow(Json.decodeFromString(it.value), it.version) } }

    private data class HeadRow(val head: EnvironmentHead, val version: String)
}
