/*
 * The interface of HTTP clients.
 */
package org.cardamomwharf.http

/** Represents a call whose result is pending. */
public interface PendingCall {
    /** Cancels the call and closes its connection; its result is [HttpResult.Lost] or [HttpResult.NotSent]. */
    public fun cancel()
}

/** Represents an HTTP client for calls to other processes. */
public interface HttpClient : AutoCloseable {
    /** Starts [call]; [onResult] is invoked once with its result, on a thread of the client. */
    public fun start(call: HttpCall, onResult: (HttpResult) -> Unit): PendingCall
}
