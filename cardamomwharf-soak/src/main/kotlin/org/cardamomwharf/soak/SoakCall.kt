/*
 * The requests of callers.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.platform.HeaderNames

/** Time after which a caller gives up. */
private const val CALL_LIMIT_MS = 2_500L

/** Time that a caller names. */
private const val DEADLINE_MS = 2_000L

/** Represents a request; one with a body is sent by POST. */
internal class SoakCall(val id: String, val key: String, val body: ByteArray = ByteArray(0))

/** Returns the call that sends [request] for [path] to [gateway]. */
internal fun callOf(gateway: GatewayHandle, path: String, request: SoakCall): HttpCall {
    val fields = listOf(
        HttpField("Host", HOST),
        HttpField(HeaderNames.REQUEST_ID, request.id),
        HttpField(HeaderNames.AFFINITY_KEY, request.key),
        HttpField(HeaderNames.DEADLINE_MS, "$DEADLINE_MS"),
    )
    val method = if (request.body.isEmpty()) "GET" else "POST"
    return HttpCall(method, "http://${gateway.callerAddress}$path", fields, request.body, CALL_LIMIT_MS)
}
