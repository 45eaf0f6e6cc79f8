/*
 * Converts results of the table service to replies for the decision logic.
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

internal fun createWriteReply(result: Result<TableWrite, PlatformError>): ClaimReply = result.mapBoth(
    success = { write ->
        when (write) {
            is TableWrite.Written -> ClaimReply.Written
            is TableWrite.Conflict -> write.row?.let(::createExistingReply) ?: ClaimReply.Absent
        }
    },
    failure = ::createErrorReply,
)

internal fun createReadReply(result: Result<TableRow?, PlatformError>): ClaimReply = result.mapBoth(
    success = { row -> row?.let(::createExistingReply) ?: ClaimReply.Absent },
    failure = ::createErrorReply,
)

private fun createErrorReply(error: PlatformError): ClaimReply =
    if (error is PlatformError.Unreachable) ClaimReply.Unavailable else ClaimReply.Lost

private fun createExistingReply(row: TableRow): ClaimReply =
    try {
        ClaimReply.Exists(Json.decodeFromString<ClaimRow>(row.value), row.version)
    } catch (@Suppress("SwallowedException") e: SerializationException) {
        ClaimReply.Lost
    }
