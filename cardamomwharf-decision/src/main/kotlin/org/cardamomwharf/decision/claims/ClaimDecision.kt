/*
 * Decides the next step of a claim after a reply of the table service. A key that another attempt holds is read again
 * for a short time: that attempt may be about to end, which yields its response or frees the key. After a lost reply
 * the row is read back and its attempt compared; if the row is absent, it is inserted again with the same attempt,
 * which is idempotent.
 */
package org.cardamomwharf.decision.claims

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Reason

/** Represents the next step of a claim. */
public sealed interface ClaimDecision {
    /** The attempt holds the key and may run. */
    public data object Proceed : ClaimDecision

    /** The row must be inserted. */
    public data object Insert : ClaimDecision

    /** The row must be read back. */
    public data object Read : ClaimDecision

    /** The row must be read again after [pauseMs], because its attempt may still end. */
    public data class ReadLater(public val pauseMs: Long) : ClaimDecision

    /** A released row must be replaced. */
    public data class Replace(public val rowVersion: String) : ClaimDecision

    /** The request ends; [response] is the recorded response, if any. */
    public data class End(public val reason: Reason, public val response: RecordedResponse? = null) : ClaimDecision

    /** The table service is down, so the claim remains undecided. */
    public data object StoreDown : ClaimDecision
}

/** Maximum number of calls for one claim before the table service counts as down. */
public const val MAX_CLAIM_CALLS: Int = 6

private const val READ_RETRY_DELAY_MS = 100L

/** Returns the next step for [attempt] after [reply], when [calls] calls have been made. */
public fun decideClaim(reply: ClaimReply, attempt: AttemptId, fingerprint: String, calls: Int): ClaimDecision =
    when (reply) {
        is ClaimReply.Written -> ClaimDecision.Proceed
        is ClaimReply.Unavailable -> ClaimDecision.StoreDown
        is ClaimReply.Absent -> if (calls < MAX_CLAIM_CALLS) ClaimDecision.Insert else ClaimDecision.StoreDown
        is ClaimReply.Lost -> if (calls < MAX_CLAIM_CALLS) ClaimDecision.Read else ClaimDecision.StoreDown
        is ClaimReply.Exists -> decideExisting(reply, attempt, fingerprint, calls)
    }

private fun decideExisting(
    reply: ClaimReply.Exists,
    attempt: AttemptId,
    fingerprint: String,
    calls: Int,
): ClaimDecision {
    val row = reply.row
    return when {
        row.attempt == attempt && row.state == ClaimState.CLAIMED -> ClaimDecision.Proceed
        row.fingerprint != fingerprint -> ClaimDecision.End(Reason.KEY_REUSED)
        row.state == ClaimState.DONE -> ClaimDecision.End(Reason.RECORDED_ANSWER, row.response)
        row.state == ClaimState.RELEASED -> ClaimDecision.Replace(reply.rowVersion)
        calls < MAX_CLAIM_CALLS -> ClaimDecision.ReadLater(calls * READ_RETRY_DELAY_MS)
        else -> ClaimDecision.End(Reason.KEY_IN_PROGRESS)
    }
}
