/*
 * Turns final answers into HTTP answers. Each names its outcome, its reason and the instance that gave it.
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

/** Returns the HTTP answer for [answer] of the instance [entry]. */
public fun responseOf(answer: EntryEffect.Respond, ran: HandedOverResponse?, entry: InstanceName): Response {
    val recorded = answer.recorded
    val bare = when {
        ran != null -> relay(ran)
        recorded != null -> replay(recorded)
        else -> Response(Status(answer.reason.status, answer.reason.code)).body(answer.reason.code + "\n")
    }
    val marked = bare
        .header(HeaderNames.OUTCOME, answer.reason.outcome.code)
        .header(HeaderNames.REASON, answer.reason.code)
        .header(HeaderNames.ENTRY, entry.value)
    return withOffer(withRetryAfter(marked, answer), answer)
}

/** Returns the HTTP answer for a request that was refused before it was decided about. */
public fun refusalOf(reason: Reason, entry: InstanceName): Response =
    responseOf(EntryEffect.Respond(NO_REQUEST, reason, retryAfterMs = retryAfterMs(reason)), null, entry)

private val NO_REQUEST = RequestId(0)

private fun retryAfterMs(reason: Reason): Long = if (reason.isRetryable) MS_PER_SECOND else 0

private fun relay(ran: HandedOverResponse): Response =
    passableFields(ran.fields).fold(Response(Status(ran.status, "")).body(bodyOf(ran.body))) { built, field ->
        built.header(field.name, field.value)
    }

private fun replay(recorded: RecordedResponse): Response =
    Response(Status(recorded.status, ""))
        .header("Content-Type", recorded.contentType)
        .body(bodyOf(Base64.getDecoder().decode(recorded.bodyBase64)))

private fun bodyOf(bytes: ByteArray): Body = Body(ByteBuffer.wrap(bytes))

private fun withRetryAfter(response: Response, answer: EntryEffect.Respond): Response {
    if (answer.reason.outcome != Outcome.NOT_RUN || answer.retryAfterMs <= 0) return response
    val seconds = (answer.retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND
    return response.header(HeaderNames.RETRY_AFTER, seconds.toString())
}

private fun withOffer(response: Response, answer: EntryEffect.Respond): Response {
    val offer = answer.offeredBinding ?: return response
    return response.header(HeaderNames.BINDING, offer.toString())
}
