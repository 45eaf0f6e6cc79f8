/*
 * Turns answers of the table service into replies for the decisions.
 */
package org.cardamomwharf.entry.claims

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.ClaimRow
import org.cardamomwharf.repository.PlatformError
import org.cardamomwharf.repository.TableRow
import org.cardamomwharf.repository.TableWrite

internal fun replyOfWrite(written: Result<TableWrite, PlatformError>): ClaimReply = written.mapBoth(
    success = { write ->
        when (write) {
            is TableWrite.Written -> ClaimReply.Written
            is TableWrite.Conflict -> write.row?.let(::existing) ?: ClaimReply.Absent
        }
    },
    failure = ::replyOfError,
)

internal fun replyOfRead(read: Result<TableRow?, PlatformError>): ClaimReply = read.mapBoth(
    success = { row -> row?.let(::existing) ?: ClaimReply.Absent },
    failure = ::replyOfError,
)

private fun replyOfError(error: PlatformError): ClaimReply =
    if (error is PlatformError.Unreachable) ClaimReply.Unavailable else ClaimReply.Lost

private fun existing(row: TableRow): ClaimReply =
    try {
        ClaimReply.Exists(Json.decodeFromString<ClaimRow>(row.value), row.version)
    } catch (@Suppress("SwallowedException") e: SerializationException) {
        ClaimReply.Lost
    }
