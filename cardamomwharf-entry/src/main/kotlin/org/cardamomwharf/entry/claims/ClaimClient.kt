/*
 * Client of the table service for single claims. It converts responses to [ClaimReply] values; the decision logic
 * determines how to proceed after each reply.
 */
package org.cardamomwharf.entry.claims

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.decision.ClaimName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.ClaimRow
import org.cardamomwharf.decision.claims.ClaimState
import org.cardamomwharf.repository.ClaimTable
import org.cardamomwharf.repository.PlatformError
import org.cardamomwharf.repository.TableWrite
import java.util.Base64

/** Reads and writes claim rows in the table service. */
public class ClaimClient(private val table: ClaimTable) {
    /** Inserts the claim of [effect] unless its row exists. */
    public fun insert(effect: EntryEffect.InsertClaim): ClaimReply {
        val row = ClaimRow(effect.attempt, effect.fingerprint, ClaimState.CLAIMED)
        return createWriteReply(table.insert(getRowName(effect.claim), Json.encodeToString(row)))
    }

    /** Reads the claim of [effect]. */
    public fun read(effect: EntryEffect.ReadClaim): ClaimReply = createReadReply(table.read(getRowName(effect.claim)))

    /** Replaces the released claim of [effect]. */
    public fun replace(effect: EntryEffect.ReplaceClaim): ClaimReply {
        val row = ClaimRow(effect.attempt, effect.fingerprint, ClaimState.CLAIMED)
        return createWriteReply(table.replace(getRowName(effect.claim), Json.encodeToString(row), effect.rowVersion))
    }

    /**
     * Writes the final state of a claim if its row is absent or still claimed by the same attempt.
     *
     * @return false if the write has to be retried.
     */
    public fun writeFinalState(effect: EntryEffect.ClaimEffect, row: ClaimRow): Boolean {
        val name = getRowName(effect.claim)
        val json = Json.encodeToString(row)
        return when (val current = createReadReply(table.read(name))) {
            is ClaimReply.Absent -> isWritten(table.insert(name, json))
            is ClaimReply.Exists -> replaceIfOwned(name, json, current, row)
            else -> false
        }
    }

    private fun replaceIfOwned(name: String, json: String, current: ClaimReply.Exists, row: ClaimRow): Boolean {
        val isSameAttempt = current.row.attempt == row.attempt && current.row.state == ClaimState.CLAIMED
        return !isSameAttempt || isWritten(table.replace(name, json, current.rowVersion))
    }

    private fun isWritten(result: Result<TableWrite, PlatformError>): Boolean =
        result.mapBoth(success = { it is TableWrite.Written }, failure = { false })

    /** Returns the row name of [claim], with the key in Base64 because row names allow fewer characters than keys. */
    private fun getRowName(claim: ClaimName): String =
        claim.service.value + "." + encoder.encodeToString(claim.key.toByteArray())

    private companion object {
        val encoder: Base64.Encoder = Base64.getUrlEncoder().withoutPadding()
    }
}
