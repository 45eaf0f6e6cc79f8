/*
 * A response that belongs to another request, recorded for finding the cause.
 */
package org.cardamomwharf.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.http.HttpResponse

private const val MAX_BODY_CHARACTERS = 600

/** Represents a response that belongs to another request; [body] is truncated. */
@Serializable
public data class WrongResponse(
    public val service: String,
    public val path: String,
    public val status: Int,
    @SerialName("fields") public val headers: List<String>,
    public val body: String,
)

/** Creates the record of a wrong [response] to the request for [path] of [service]. */
public fun createWrongResponse(service: String, path: String, response: HttpResponse): WrongResponse = WrongResponse(
    service = service,
    path = path,
    status = response.status,
    headers = response.headers.map { "${it.name}: ${it.value}" },
    body = response.body.decodeToString().take(MAX_BODY_CHARACTERS),
)
