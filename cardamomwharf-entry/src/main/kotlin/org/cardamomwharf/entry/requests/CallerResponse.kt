/*
 * Builds HTTP responses for callers. Each has header fields with its outcome, its reason and the responding instance.
 */
package org.cardamomwharf.entry.requests

import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.claims.RecordedResponse
import org.cardamomwharf.peer.HandedOverResponse
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.nio.ByteBuffer
import java.util.Base64

private const val MS_PER_SECOND = 1_000L

/** Returns the HTTP response for [effect], sent by the instance [entry]. */
public fun buildResponse(
    effect: EntryEffect.Respond,
    serverResponse: HandedOverResponse?,
    entry: InstanceName,
): Response {
    val recorded = effect.recorded
    val plainResponse = when {
        serverResponse != null -> relay(serverResponse)
        recorded != null -> replay(recorded)
        else -> Response(Status(effect.reason.status, effect.reason.code)).body(effect.reason.code + "\n")
    }
    val annotatedResponse = plainResponse
        .header(HeaderNames.OUTCOME, effect.reason.outcome.code)
        .header(HeaderNames.REASON, effect.reason.code)
        .header(HeaderNames.ENTRY, entry.value)
    return withOfferedBinding(withRetryAfter(annotatedResponse, effect), effect)
}

/** Returns the HTTP response for a request that was refused before it reached the decision loop. */
public fun buildRefusal(reason: Reason, entry: InstanceName): Response =
    buildResponse(EntryEffect.Respond(NO_REQUEST, reason, retryAfterMs = retryAfterMs(reason)), null, entry)

private val NO_REQUEST = RequestId(0)

private fun retryAfterMs(reason: Reason): Long = if (reason.isRetryable) MS_PER_SECOND else 0

private fun relay(serverResponse: HandedOverResponse): Response =
    filterForwardableFields(serverResponse.fields)
        .fold(Response(Status(serverResponse.status, "")).body(createBody(serverResponse.body))) { response, field ->
            response.header(field.name, field.value)
        }

private fun replay(recorded: RecordedResponse): Response =
    Response(Status(recorded.status, ""))
        .header("Content-Type", recorded.contentType)
        .body(createBody(Base64.getDecoder().decode(recorded.bodyBase64)))

private fun createBody(bytes: ByteArray): Body = Body(ByteBuffer.wrap(bytes))

private fun withRetryAfter(response: Response, effect: EntryEffect.Respond): Response {
    if (effect.reason.outcome != Outcome.NOT_RUN || effect.retryAfterMs <= 0) return response
    val seconds = (effect.retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND
    return response.header(HeaderNames.RETRY_AFTER, seconds.toString())
}

private fun withOfferedBinding(response: Response, effect: EntryEffect.Respond): Response {
    val binding = effect.offeredBinding ?: return response
    return response.header(HeaderNames.BINDING, binding.toString())
}
