/*
 * Report of a completed attempt.
 */
package org.cardamomwharf.steering.requests

/**
 * Represents the outcome of an attempt with the data that determines the next step.
 *
 * @param mayHaveRun true when an earlier attempt may have executed the request.
 * @param tookMs time from the decision to send until the outcome.
 * @param isBrokenOff true when the backend server closed or reset the connection instead of responding.
 */
public data class AttemptReport(
    public val outcome: AttemptOutcome,
    public val mayHaveRun: Boolean,
    public val tookMs: Long,
    public val isBrokenOff: Boolean = false,
)
