/*
 * Calls that wait for their end, for threads whose only duty is to make them.
 */
package org.cardamomwharf.http

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private const val MARGIN_MS = 1_000L

/** Returns the end of [call]. */
public fun HttpClient.call(call: HttpCall): HttpResult {
    val end = CompletableFuture<HttpResult>()
    val flight = start(call) { end.complete(it) }
    return try {
        end.get(call.timeoutMs + MARGIN_MS, TimeUnit.MILLISECONDS)
    } catch (@Suppress("SwallowedException") e: TimeoutException) {
        flight.cancel()
        HttpResult.Lost(HttpFailure.TIMEOUT)
    } catch (@Suppress("SwallowedException") e: ExecutionException) {
        HttpResult.Lost(HttpFailure.CLOSED)
    }
}
