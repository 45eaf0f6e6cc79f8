/*
 * Builds the HTTP requests of callers and the records of their results.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpFailure
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.platform.standin.BackendStandin

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

/** Represents a caller request to [service], "bookings" or "reads", that was sent at [startedAtMs]. */
internal class SentRequest(val id: String, val service: String, val startedAtMs: Long)

/** Returns the record of [sent], which ended with [result] at [endedAtMs]. */
internal fun createCallRecord(
    gateway: GatewayProcess,
    sent: SentRequest,
    endedAtMs: Long,
    result: HttpResult,
): CallRecord {
    val response = (result as? HttpResult.Completed)?.response
    val isComplete = response != null && response.findHeader(HeaderNames.REQUEST_ID) == sent.id &&
        response.findHeader(HeaderNames.SIGNATURE) == BackendStandin.createSignature(sent.id) &&
        response.body.decodeToString() == BackendStandin.createBody(sent.id, sent.service)
    return CallRecord(
        id = sent.id,
        instance = gateway.name,
        path = "/${sent.service}/",
        isIdempotent = sent.service != "bookings",
        startedAtMs = sent.startedAtMs,
        endedAtMs = endedAtMs,
        status = response?.status ?: 0,
        hasCompleteResponse = isComplete,
        isConnectionLost = result is HttpResult.Lost && result.failure != HttpFailure.TIMEOUT,
    )
}
