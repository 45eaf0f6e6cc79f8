/*
 * An answer that was not the answer to its request, kept so that its cause can be found.
 */
package org.cardamomwharf.load

import kotlinx.serialization.Serializable
import org.cardamomwharf.http.HttpResponse

private const val LARGEST_SHOWN_CHARACTERS = 600

/** Represents a wrong answer; [body] is cut to its first characters. */
@Serializable
public data class WrongAnswer(
    public val service: String,
    public val path: String,
    public val status: Int,
    public val fields: List<String>,
    public val body: String,
)

/** Returns [answer], which the request for [path] of [service] got, as a wrong one. */
public fun wrongAnswerOf(service: String, path: String, answer: HttpResponse): WrongAnswer = WrongAnswer(
    service = service,
    path = path,
    status = answer.status,
    fields = answer.headers.map { "${it.name}: ${it.value}" },
    body = answer.body.decodeToString().take(LARGEST_SHOWN_CHARACTERS),
)
