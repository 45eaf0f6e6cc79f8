/*
 * Converts responses to the form that is recorded for requests repeated with the same idempotency key.
 */
package org.cardamomwharf.entry.requests

import org.cardamomwharf.decision.claims.RecordedResponse
import org.cardamomwharf.peer.HandedOverResponse
import java.util.Base64

private const val MAX_RECORDED_BYTES = 16_384
private const val CONTENT_TYPE = "Content-Type"

/** Returns the recorded form of this response, without the body if it exceeds the maximum size. */
public fun HandedOverResponse.toRecorded(): RecordedResponse {
    val recordedBody = if (body.size <= MAX_RECORDED_BYTES) body else ByteArray(0)
    return RecordedResponse(
        status = status,
        contentType = fields.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }?.value.orEmpty(),
        bodyBase64 = Base64.getEncoder().encodeToString(recordedBody),
    )
}
