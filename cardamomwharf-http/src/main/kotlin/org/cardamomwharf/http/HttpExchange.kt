/*
 * What one HTTP call of ours can end in. The end tells whether a byte of the request may have been sent, because that
 * decides what may follow.
 */
package org.cardamomwharf.http

import kotlinx.serialization.Serializable

/** Represents a request to another process. */
public class HttpCall(
    public val method: String,
    public val url: String,
    public val headers: List<HttpField> = emptyList(),
    public val body: ByteArray = ByteArray(0),
    public val timeoutMs: Long,
    public val maxResponseBytes: Int = 4_194_304,
)

/** Represents a header field. */
@Serializable
public data class HttpField(public val name: String, public val value: String)

/** Represents a whole answer. */
public class HttpResponse(
    public val status: Int,
    public val headers: List<HttpField>,
    public val body: ByteArray,
) {
    /** Returns the value of the header field [name], or null when it is absent. */
    public fun findHeader(
        name: String
    ): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** Represents the end of a call. */
public sealed interface HttpResult {
    /** The whole answer arrived. */
    public class Completed(public val response: HttpResponse) : HttpResult

    /** No byte of the request was sent. */
    public data class NotSent(public val failure: HttpFailure) : HttpResult

    /** The request may have been sent, and no whole answer arrived. */
    public data class Lost(public val failure: HttpFailure) : HttpResult
}

/** Represents why a call failed. */
public enum class HttpFailure { CONNECT, TIMEOUT, CLOSED, TRUNCATED, TOO_LARGE, CANCELLED }

/** Represents a call that is under way. */
public interface PendingCall {
    /** Stops the call and closes its connection; its end is reported as lost or not sent. */
    public fun cancel()
}

/** Represents a client for calls to other processes. */
public interface HttpClient : AutoCloseable {
    /** Starts [call]; [onResult] is told its end once, on a thread of the client. */
    public fun start(call: HttpCall, onResult: (HttpResult) -> Unit): PendingCall
}
