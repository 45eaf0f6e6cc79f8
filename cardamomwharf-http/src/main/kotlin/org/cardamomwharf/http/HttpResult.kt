/*
 * The result of an HTTP call. It tells whether any part of the request may have been sent, because this determines
 * whether the call may be repeated.
 */
package org.cardamomwharf.http

/** Represents the result of a call. */
public sealed interface HttpResult {
    /** The complete response was received. */
    public class Completed(public val response: HttpResponse) : HttpResult

    /** No byte of the request was sent. */
    public data class NotSent(public val failure: HttpFailure) : HttpResult

    /** The request may have been sent, and no complete response was received. */
    public data class Lost(public val failure: HttpFailure) : HttpResult
}

/** Represents why a call failed. */
public enum class HttpFailure { CONNECT, TIMEOUT, CLOSED, TRUNCATED, TOO_LARGE, CANCELLED }
