/*
 * The end of a request that isn't sent again.
 */
package org.cardamomwharf.steering.requests

/**
 * Returns the step that ends a request after its last attempt. The request is refused only when no attempt may have
 * executed it.
 *
 * @param retryAfterMs retry delay for a caller that is refused.
 */
internal fun finalStepOf(report: AttemptReport, retryAfterMs: Long): NextStep = when (report.outcome) {
    AttemptOutcome.ANSWERED, AttemptOutcome.FAILED, AttemptOutcome.CALLER_GONE, AttemptOutcome.CONNECTION_CLOSED,
    AttemptOutcome.SUPERSEDED -> NextStep.RelayResponse
    AttemptOutcome.UNWRITABLE -> NextStep.RejectRequest
    AttemptOutcome.TIMED_OUT -> NextStep.ReportTimeout
    AttemptOutcome.LOST -> NextStep.ReportUnknown
    AttemptOutcome.SHED, AttemptOutcome.MISDIRECTED, AttemptOutcome.NOT_SENT -> if (report.mayHaveRun) {
        NextStep.ReportUnknown
    } else {
        val isUnsent = report.outcome == AttemptOutcome.NOT_SENT
        NextStep.Refuse(if (isUnsent) RefusalReason.UNREACHABLE else RefusalReason.SHED, retryAfterMs)
    }
}
