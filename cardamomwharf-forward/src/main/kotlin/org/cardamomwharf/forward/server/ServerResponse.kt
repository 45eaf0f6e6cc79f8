/*
 * Response of a backend server and results of calls.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.steering.servers.ServerReport
import org.eclipse.jetty.http.HttpFields

/** Represents a complete response. */
public class ServerResponse(
    public val status: Int,
    public val fields: HttpFields,
    public val body: ByteArray,
    public val report: ServerReport,
)

/** Represents the result of a call to a backend server. */
public sealed interface CallResult {
    /** A complete response arrived. */
    public class Completed(public val response: ServerResponse) : CallResult

    /** No byte of the request was sent. */
    public data class NotSent(public val cause: CallFailure) : CallResult

    /** The request may have been received, but no complete response arrived. */
    public data class Lost(public val cause: CallFailure) : CallResult
}

/** Represents why a call failed. */
public enum class CallFailure(public val code: String) {
    /** No connection was established in time. */
    CONNECT("connect"),

    /** The connection was reset. */
    RESET("reset"),

    /** The connection was closed before the response was complete. */
    TRUNCATED("truncated"),

    /** The response violated the protocol. */
    MALFORMED("malformed"),

    /** The response was encoded, belonged to another request, or had no signature. */
    FOREIGN("foreign"),

    /** The response exceeded the maximum size. */
    TOO_LARGE("too-large"),

    /** The bodies of all requests and responses reached their maximum size. */
    NO_ROOM("no-room"),

    /** This process cancelled the call. */
    CANCELLED("cancelled"),
}
