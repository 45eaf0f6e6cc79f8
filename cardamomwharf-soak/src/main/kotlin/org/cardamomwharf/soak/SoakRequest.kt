/*
 * Builds the HTTP requests of callers.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.platform.HeaderNames

private const val CALL_TIMEOUT_MS = 2_500L

/** The deadline that a caller sends in its request. */
private const val DEADLINE_MS = 2_000L

/** Represents a caller request, sent with POST if it has a body and with GET otherwise. */
internal class SoakRequest(val id: String, val key: String, val body: ByteArray = ByteArray(0))

/** Returns the call that sends [request] for [path] to [gateway]. */
internal fun createCall(gateway: GatewayProcess, path: String, request: SoakRequest): HttpCall {
    val fields = listOf(
        HttpField("Host", HOST),
        HttpField(HeaderNames.REQUEST_ID, request.id),
        HttpField(HeaderNames.AFFINITY_KEY, request.key),
        HttpField(HeaderNames.DEADLINE_MS, "$DEADLINE_MS"),
    )
    val method = if (request.body.isEmpty()) "GET" else "POST"
    return HttpCall(method, "http://${gateway.callerAddress}$path", fields, request.body, CALL_TIMEOUT_MS)
}
