/*
 * How one try of a request ended, at a backend server or at another entry instance. What was sent decides what may
 * follow: before the first byte any request may be tried again, after it only idempotent ones.
 */
package org.cardamomwharf.decision.requests

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.claims.RecordedResponse

/** Represents the end of one attempt. */
@Serializable
public sealed interface AttemptResult {
    /**
     * The whole answer arrived.
     *
     * @param recorded the answer to keep under the key of a non-idempotent request.
     * @param hasAttemptId whether the answer names the attempt that it belongs to.
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
     * The backend server or the peer said that it did not run the request.
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

    /** Bytes were sent and no whole answer arrived. */
    @Serializable
    public data class Lost(public val reason: Reason) : AttemptResult
}
