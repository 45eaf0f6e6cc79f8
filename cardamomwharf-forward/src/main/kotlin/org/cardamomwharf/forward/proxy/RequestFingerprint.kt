/*
 * Fingerprints of requests. A caller that sends a request again sends the same method, address, credentials and body,
 * under another request ID.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.combineHashes
import org.cardamomwharf.core.hash64
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import java.nio.ByteBuffer

/** Returns a hash of a request with its [body] that is the same on every instance. */
internal fun fingerprintOf(method: String, pathQuery: String?, headers: HttpFields, body: ByteBuffer?): Long {
    val head = listOf(
        method,
        headers.get(HttpHeader.HOST).orEmpty(),
        pathQuery.orEmpty(),
        headers.get(HttpHeader.AUTHORIZATION).orEmpty(),
    ).joinToString("\n")
    return if (body == null) hash64(head) else combineHashes(hash64(head), hash64(body))
}
