/*
 * Outcomes of an attempt at a backend server, and the next steps that follow.
 */
package org.cardamomwharf.steering.requests

/**
 * Represents the outcome of an attempt.
 *
 * @param code name in logs and metrics.
 * @param isNotExecuted true when the attempt certainly did not execute the request.
 */
public enum class AttemptOutcome(public val code: String, public val isNotExecuted: Boolean) {
    /** A complete response arrived that may be relayed. */
    ANSWERED("answered", false),

    /** A complete response arrived that reports a server failure. */
    FAILED("failed", false),

    /** The backend server stated that it did not execute the request. */
    SHED("shed", true),

    /** Another backend server has the address and did not execute the request. */
    MISDIRECTED("misdirected", true),

    /** No byte of the request was sent. */
    NOT_SENT("not-sent", true),

    /** The request can't be written as HTTP/1.1 to any backend server. */
    UNWRITABLE("unwritable", true),

    /** The request was sent, and no complete response arrived. */
    LOST("lost", false),

    /** The deadline of the request passed. */
    TIMED_OUT("timed-out", false),

    /** The caller closed its connection. */
    CALLER_GONE("caller-gone", false),

    /** This process closed the connection of the caller. */
    CONNECTION_CLOSED("connection-closed", false),

    /** Another attempt of the request was answered first. */
    SUPERSEDED("superseded", false),
    ;

    /** True when no retry may follow. */
    public val isFinal: Boolean
        get() = this == ANSWERED || this == TIMED_OUT || this == CALLER_GONE || this == CONNECTION_CLOSED ||
            this == UNWRITABLE || this == SUPERSEDED
}

/** Represents the step after an attempt. */
public sealed interface NextStep {
    /** The request is retried. */
    public data class Retry(public val placement: Placement.Send) : NextStep

    /** The response of the backend server is relayed to the caller. */
    public data object RelayResponse : NextStep

    /** The caller receives a refusal, because the request was not executed. */
    public data class Refuse(public val reason: RefusalReason, public val retryAfterMs: Long) : NextStep

    /** The caller receives an error, because the request may have been executed. */
    public data object ReportUnknown : NextStep

    /** The caller receives an error, because no backend server can be sent the request. */
    public data object RejectRequest : NextStep

    /** The caller receives a timeout response. */
    public data object ReportTimeout : NextStep
}
