/*
 * Fingerprints of requests. A caller that sends a request again sends the same method, address, credentials and body,
 * under another request ID. The name of the caller's team stands for its key.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.TeamName
import org.cardamomwharf.core.combineHashes
import org.cardamomwharf.core.hash64
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import java.nio.ByteBuffer

/** Returns a hash of a request of [team] with its [body] that is the same on every instance. */
internal fun fingerprintOf(
    method: String,
    pathQuery: String?,
    headers: HttpFields,
    body: ByteBuffer?,
    team: TeamName? = null,
): Long {
    val head = listOfNotNull(
        method,
        headers.get(HttpHeader.HOST).orEmpty(),
        pathQuery.orEmpty(),
        headers.get(HttpHeader.AUTHORIZATION).orEmpty(),
        team?.value,
    ).joinToString("\n")
    return if (body == null) hash64(head) else combineHashes(hash64(head), hash64(body))
}
