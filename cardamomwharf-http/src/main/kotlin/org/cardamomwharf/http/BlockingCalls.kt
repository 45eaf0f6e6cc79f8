/*
 * Blocking HTTP calls, for threads that have no other work.
 */
package org.cardamomwharf.http

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Time that the client gets beyond the timeout of the call to report the result itself. */
private const val MARGIN_MS = 1_000L

/** Sends [call], waits for its result and returns it. */
public fun HttpClient.call(call: HttpCall): HttpResult {
    val result = CompletableFuture<HttpResult>()
    val pendingCall = start(call) { result.complete(it) }
    return try {
        result.get(call.timeoutMs + MARGIN_MS, TimeUnit.MILLISECONDS)
    } catch (@Suppress("SwallowedException") e: TimeoutException) {
        pendingCall.cancel()
        HttpResult.Lost(HttpFailure.TIMEOUT)
    } catch (@Suppress("SwallowedException") e: ExecutionException) {
        HttpResult.Lost(HttpFailure.CLOSED)
    }
}
