/*
 * Answers as they are recorded for callers that repeat a key.
 */
package org.cardamomwharf.entry.requests

import org.cardamomwharf.decision.claims.RecordedResponse
import org.cardamomwharf.peer.HandedOverResponse
import java.util.Base64

private const val LARGEST_RECORDED_BYTES = 16_384
private const val CONTENT_TYPE = "Content-Type"

/** Returns this answer as it is recorded; a body that is too large to record is left out. */
public fun HandedOverResponse.toRecorded(): RecordedResponse {
    val kept = if (body.size <= LARGEST_RECORDED_BYTES) body else ByteArray(0)
    return RecordedResponse(
        status = status,
        contentType = fields.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }?.value.orEmpty(),
        bodyBase64 = Base64.getEncoder().encodeToString(kept),
    )
}
