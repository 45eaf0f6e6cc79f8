/*
 * A whole answer of a backend server, and what may end a call to one.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.steering.servers.LoadReport
import org.eclipse.jetty.http.HttpFields

/** Represents a whole answer. */
public class ServerResponse(
    public val status: Int,
    public val fields: HttpFields,
    public val body: ByteArray,
    public val report: LoadReport?,
)

/** Represents the end of a call to a backend server. */
public sealed interface CallResult {
    /** The whole answer arrived. */
    public class Completed(public val response: ServerResponse) : CallResult

    /** No byte of the request left this process. */
    public data class NotSent(public val cause: CallFailure) : CallResult

    /** The request may have arrived, and no whole answer of it came back. */
    public data class Lost(public val cause: CallFailure) : CallResult
}

/** Represents why a call failed. */
public enum class CallFailure(public val code: String) {
    /** No connection could be made in time. */
    CONNECT("connect"),

    /** The connection was reset. */
    RESET("reset"),

    /** The connection ended before the whole answer had arrived. */
    TRUNCATED("truncated"),

    /** What arrived was no answer in the protocol. */
    MALFORMED("malformed"),

    /** The answer was encoded, belonged to another request, or had no signature. */
    FOREIGN("foreign"),

    /** The answer was larger than this process keeps. */
    TOO_LARGE("too-large"),

    /** The answers that are being read took all the memory for them. */
    NO_ROOM("no-room"),

    /** This process gave the call up. */
    CANCELLED("cancelled"),
}
