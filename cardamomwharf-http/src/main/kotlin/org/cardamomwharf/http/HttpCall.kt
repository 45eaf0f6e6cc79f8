/*
 * The request of an HTTP call to another process.
 */
package org.cardamomwharf.http

import kotlinx.serialization.Serializable

/** Represents a request to another process; the call fails when it takes longer than [timeoutMs]. */
public class HttpCall(
    public val method: String,
    public val url: String,
    public val headers: List<HttpField> = emptyList(),
    public val body: ByteArray = ByteArray(0),
    public val timeoutMs: Long,
    public val maxResponseBytes: Int = 4_194_304,
)

/** Represents a header field. */
@Serializable
public data class HttpField(public val name: String, public val value: String)
