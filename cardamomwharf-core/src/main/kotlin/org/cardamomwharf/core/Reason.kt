/*
 * The reasons for which a request ends, each with its outcome and HTTP status. Callers, metrics and logs show the code;
 * CALLER-API.md documents each code.
 */
package org.cardamomwharf.core

/**
 * Represents why a request ended as it did.
 *
 * @param code the name shown to callers and in metrics and logs.
 * @param outcome what happened to the request.
 * @param status the HTTP status of the response.
 * @param isRetryable true when the same request may succeed later or at another instance.
 */
public enum class Reason(
    public val code: String,
    public val outcome: Outcome,
    public val status: Int,
    public val isRetryable: Boolean = false,
) {
    ANSWERED("answered", Outcome.RAN, StatusCode.OK),
    RECORDED_ANSWER("recorded-answer", Outcome.RAN, StatusCode.OK),

    UNKNOWN_SERVICE("unknown-service", Outcome.NOT_RUN, StatusCode.NOT_FOUND),
    UNKNOWN_CLIENT("unknown-client", Outcome.NOT_RUN, StatusCode.NOT_FOUND),
    BAD_REQUEST("bad-request", Outcome.NOT_RUN, StatusCode.BAD_REQUEST),
    KEY_MISSING("key-missing", Outcome.NOT_RUN, StatusCode.BAD_REQUEST),
    DEADLINE_INVALID("deadline-invalid", Outcome.NOT_RUN, StatusCode.BAD_REQUEST),
    HEAD_TOO_LARGE("head-too-large", Outcome.NOT_RUN, StatusCode.HEAD_TOO_LARGE),
    BODY_TOO_LARGE("body-too-large", Outcome.NOT_RUN, StatusCode.CONTENT_TOO_LARGE),
    BODY_TRUNCATED("body-truncated", Outcome.NOT_RUN, StatusCode.BAD_REQUEST),
    KEY_REUSED("key-reused", Outcome.NOT_RUN, StatusCode.UNPROCESSABLE),
    BINDING_ELSEWHERE("binding-elsewhere", Outcome.NOT_RUN, StatusCode.MISDIRECTED),
    BINDING_DISABLED("binding-disabled", Outcome.NOT_RUN, StatusCode.CONFLICT),

    NO_DOCUMENT("no-document", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    LEAVING("leaving", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    BUSY("busy", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    RING_FULL("ring-full", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    NO_SERVER("no-server", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    NO_SLOT("no-slot", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    CAP_REACHED("cap-reached", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    DRAINED("drained", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    DEADLINE_TOO_SHORT("deadline-too-short", Outcome.NOT_RUN, StatusCode.GATEWAY_TIMEOUT),
    DEADLINE_PASSED("deadline-passed", Outcome.NOT_RUN, StatusCode.GATEWAY_TIMEOUT),
    CALLER_GONE("caller-gone", Outcome.NOT_RUN, StatusCode.CALLER_CLOSED),
    STORE_UNAVAILABLE("store-unavailable", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    SERVER_REFUSED("server-refused", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    SERVER_UNREACHABLE("server-unreachable", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    PEER_UNREACHABLE("peer-unreachable", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),
    RETRY_BUDGET_EMPTY("retry-budget-empty", Outcome.NOT_RUN, StatusCode.UNAVAILABLE, isRetryable = true),

    KEY_IN_PROGRESS("key-in-progress", Outcome.UNKNOWN, StatusCode.CONFLICT),
    BINDING_EXPIRED("binding-expired", Outcome.UNKNOWN, StatusCode.CONFLICT),
    CONNECTION_LOST("connection-lost", Outcome.UNKNOWN, StatusCode.BAD_GATEWAY),
    ANSWER_TRUNCATED("answer-truncated", Outcome.UNKNOWN, StatusCode.BAD_GATEWAY),
    ANSWER_CROSSED("answer-crossed", Outcome.UNKNOWN, StatusCode.BAD_GATEWAY),
    ANSWER_TOO_LARGE("answer-too-large", Outcome.UNKNOWN, StatusCode.BAD_GATEWAY),
    DEADLINE_PASSED_RUNNING("deadline-passed-running", Outcome.UNKNOWN, StatusCode.GATEWAY_TIMEOUT),
    INTERNAL_ERROR("internal-error", Outcome.UNKNOWN, StatusCode.INTERNAL_ERROR),
}
