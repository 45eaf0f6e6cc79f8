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
public fun HttpCaller.call(call: HttpCall): HttpEnd {
    val end = CompletableFuture<HttpEnd>()
    val flight = start(call) { end.complete(it) }
    return try {
        end.get(call.limitMs + MARGIN_MS, TimeUnit.MILLISECONDS)
    } catch (@Suppress("SwallowedException") e: TimeoutException) {
        flight.cancel()
        HttpEnd.Lost(HttpFailure.TIMEOUT)
    } catch (@Suppress("SwallowedException") e: ExecutionException) {
        HttpEnd.Lost(HttpFailure.CLOSED)
    }
}
