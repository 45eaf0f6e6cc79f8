/*
 * Defines how an attempt ended at a backend server or at another entry instance. Any request may be retried if no byte
 * was sent; after the first byte only idempotent requests may.
 */
package org.cardamomwharf.decision.requests

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.claims.RecordedResponse

/** Represents the result of one attempt. */
@Serializable
public sealed interface AttemptResult {
    /**
     * The whole response arrived.
     *
     * @param recorded the response to record under the key of a non-idempotent request.
     * @param hasAttemptId whether the response names the attempt that it belongs to.
     */
    @Serializable
    @SerialName("org.cardamomwharf.decision.requests.AttemptResult.Answered")
    public data class Completed(
        public val recorded: RecordedResponse? = null,
        public val isServerLeaving: Boolean = false,
        @SerialName("isNamed")
        public val hasAttemptId: Boolean = false,
    ) : AttemptResult

    /** No byte was sent. */
    @Serializable
    public data class NotSent(public val reason: Reason) : AttemptResult

    /**
     * The backend server or the peer reported that it did not run the request.
     *
     * @param hasAttemptId whether the refusal names the attempt that it belongs to.
     */
    @Serializable
    public data class Refused(
        public val reason: Reason,
        public val retryAfterMs: Long = 0,
        public val isServerLeaving: Boolean = false,
        @SerialName("isNamed")
        public val hasAttemptId: Boolean = false,
    ) : AttemptResult

    /** Bytes were sent and no whole response arrived, so the request may have run. */
    @Serializable
    public data class Lost(public val reason: Reason) : AttemptResult
}
