/*
 * Defines the row that ensures that a non-idempotent request runs at most once. It is inserted before the first byte is
 * sent to a backend server, and names the attempt that may run the key. Only that attempt may release it, and only if
 * nothing ran.
 */
package org.cardamomwharf.decision.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.AttemptId

/** Represents the state of the attempt of a [ClaimRow]. */
@Serializable
public enum class ClaimState {
    /** The attempt may be running, or may have run. */
    CLAIMED,

    /** The attempt ended without running; another attempt may replace it. */
    RELEASED,

    /** The attempt ran and its response is recorded. */
    DONE,
}

/** Represents the response of a backend server that is recorded for callers that repeat a key. */
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

/** Represents the reply of the table service to an operation on a claim. */
@Serializable
public sealed interface ClaimReply {
    /** The write took effect. */
    @Serializable
    public data object Written : ClaimReply

    /** The row exists; [rowVersion] is required to replace it. */
    @Serializable
    public data class Exists(public val row: ClaimRow, public val rowVersion: String) : ClaimReply

    /** The row doesn't exist. */
    @Serializable
    public data object Absent : ClaimReply

    /** The reply was lost; the write may have taken effect or still may. */
    @Serializable
    public data object Lost : ClaimReply

    /** The table service could not be reached; nothing was written. */
    @Serializable
    public data object Unavailable : ClaimReply
}
