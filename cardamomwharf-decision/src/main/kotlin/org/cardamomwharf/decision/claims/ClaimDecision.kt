/*
 * Decides what follows from an answer about a claim. A key that another attempt holds is read again for a short time:
 * the attempt may just be ending, and then its answer is given or its key is free. A lost answer is settled by reading
 * the row back and comparing the attempt; a row that is absent after that is inserted again with the same attempt,
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

    /** The row must be read again after [pauseMs]; its attempt may yet end. */
    public data class ReadLater(public val pauseMs: Long) : ClaimDecision

    /** A released row must be replaced. */
    public data class Replace(public val rowVersion: String) : ClaimDecision

    /** The request ends; [response] is the recorded answer where there is one. */
    public data class End(public val reason: Reason, public val response: RecordedResponse? = null) : ClaimDecision

    /** The table service is down; the claim neither holds nor is held. */
    public data object StoreDown : ClaimDecision
}

/** The calls that one claim may make before the table service counts as down. */
public const val MAX_CLAIM_CALLS: Int = 6

private const val READ_RETRY_DELAY_MS = 100L

/** Returns the step after [reply] to [attempt], [calls] calls having been made. */
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
