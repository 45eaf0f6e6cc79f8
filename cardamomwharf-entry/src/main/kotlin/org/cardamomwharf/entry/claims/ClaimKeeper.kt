/*
 * Makes the calls to the table service that belong to one claim, and turns their answers into replies. It decides
 * nothing: what follows from a reply is in the decisions.
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

/** Represents the calls about claims. */
public class ClaimKeeper(private val table: ClaimTable) {
    /** Inserts the claim of [effect] unless it exists. */
    public fun insert(effect: EntryEffect.InsertClaim): ClaimReply {
        val row = ClaimRow(effect.attempt, effect.fingerprint, ClaimState.CLAIMED)
        return replyOfWrite(table.insert(nameOf(effect.claim), Json.encodeToString(row)))
    }

    /** Reads the claim of [effect]. */
    public fun read(effect: EntryEffect.ReadClaim): ClaimReply = replyOfRead(table.read(nameOf(effect.claim)))

    /** Replaces the released claim of [effect]. */
    public fun replace(effect: EntryEffect.ReplaceClaim): ClaimReply {
        val row = ClaimRow(effect.attempt, effect.fingerprint, ClaimState.CLAIMED)
        return replyOfWrite(table.replace(nameOf(effect.claim), Json.encodeToString(row), effect.rowVersion))
    }

    /**
     * Writes the final state of a claim, if the row is absent or still names the attempt; returns false when the call
     * has to be made again.
     */
    public fun settle(effect: EntryEffect.ClaimEffect, row: ClaimRow): Boolean {
        val name = nameOf(effect.claim)
        val json = Json.encodeToString(row)
        return when (val current = replyOfRead(table.read(name))) {
            is ClaimReply.Absent -> isWritten(table.insert(name, json))
            is ClaimReply.Exists -> settleExisting(name, json, current, row)
            else -> false
        }
    }

    private fun settleExisting(name: String, json: String, current: ClaimReply.Exists, row: ClaimRow): Boolean {
        val isOurs = current.row.attempt == row.attempt && current.row.state == ClaimState.CLAIMED
        return !isOurs || isWritten(table.replace(name, json, current.rowVersion))
    }

    private fun isWritten(written: Result<TableWrite, PlatformError>): Boolean =
        written.mapBoth(success = { it is TableWrite.Written }, failure = { false })

    /** Keys may hold any printable character, row names may not. */
    private fun nameOf(claim: ClaimName): String =
        claim.service.value + "." + encoder.encodeToString(claim.key.toByteArray())

    private companion object {
        val encoder: Base64.Encoder = Base64.getUrlEncoder().withoutPadding()
    }
}
