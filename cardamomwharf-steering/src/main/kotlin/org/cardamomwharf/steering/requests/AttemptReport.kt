/*
 * What is known of a try when it ends.
 */
package org.cardamomwharf.steering.requests

/**
 * Represents the end of a try with what matters for the next step.
 *
 * @param mayHaveRun true when the request may have run in an earlier try.
 * @param tookMs time from the decision to send until the end.
 */
public data class AttemptReport(
    public val outcome: AttemptOutcome,
    public val mayHaveRun: Boolean,
    public val tookMs: Long,
)
