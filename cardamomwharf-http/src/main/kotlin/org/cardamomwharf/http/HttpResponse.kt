/*
 * The response to an HTTP call.
 */
package org.cardamomwharf.http

/** Represents a complete response. */
public class HttpResponse(
    public val status: Int,
    public val headers: List<HttpField>,
    public val body: ByteArray,
) {
    /** Returns the value of the header field [name], or null when it is absent. */
    public fun findHeader(name: String): String? =
        headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}
