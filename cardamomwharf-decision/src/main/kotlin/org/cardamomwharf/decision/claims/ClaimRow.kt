/*
 * The row that makes a non-idempotent request run at most once. It is inserted before the first byte goes to a backend
 * server, and names the attempt that may run the key. Only that attempt may release it, and only when nothing ran.
 */
package org.cardamomwharf.decision.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.AttemptId

/** Represents how far the attempt of a [ClaimRow] has come. */
@Serializable
public enum class ClaimState {
    /** The attempt may be running, or may have run. */
    CLAIMED,

    /** The attempt ended without running; another may replace it. */
    RELEASED,

    /** The attempt ran; its answer is recorded. */
    DONE,
}

/** Represents the answer of a backend server that is kept for callers that repeat a key. */
@Serializable
public data class RecordedResponse(
    public val status: Int,
    public val contentType: String,
    public val bodyBase64: String,
)

/**
 * Represents the claim of one idempotency key.
 *
 * @param fingerprint hash of method, path and body; a key with another fingerprint is refused.
 */
@Serializable
public data class ClaimRow(
    public val attempt: AttemptId,
    public val fingerprint: String,
    public val state: ClaimState,
    @SerialName("answer")
    public val response: RecordedResponse? = null,
)

/** Represents what the table service answered about a claim. */
@Serializable
public sealed interface ClaimReply {
    /** The write took effect. */
    @Serializable
    public data object Written : ClaimReply

    /** The row exists; [rowVersion] is needed to replace it. */
    @Serializable
    public data class Exists(public val row: ClaimRow, public val rowVersion: String) : ClaimReply

    /** The row doesn't exist. */
    @Serializable
    public data object Absent : ClaimReply

    /** The answer got lost; the write may have taken effect or may yet. */
    @Serializable
    public data object Lost : ClaimReply

    /** The table service could not be reached; nothing was written. */
    @Serializable
    public data object Unavailable : ClaimReply
}
