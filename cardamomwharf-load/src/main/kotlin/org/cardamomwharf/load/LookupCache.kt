/*
 * Look-ups as a caller makes them: answers are kept for their time to live, and any entry instance of an earlier answer
 * can be asked for the next one.
 */
package org.cardamomwharf.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import java.util.concurrent.ConcurrentHashMap

private const val LOOKUP_LIMIT_MS = 1_000L
private val json = Json { ignoreUnknownKeys = true }

/** Represents an entry instance of a look-up answer. */
@Serializable
public data class FoundInstance(
    public val instance: String,
    public val incarnation: Long,
    public val address: SocketAddress,
)

/** Represents a look-up answer. */
@Serializable
public data class FoundInstances(
    public val documentVersion: Long,
    public val cacheTtlMs: Long,
    public val instances: List<FoundInstance>,
)

/** Represents the look-ups of all clients of a load run. */
public class LookupCache(
    private val caller: HttpClient,
    private val clock: Clock,
    private val entries: List<String>,
) {
    private val kept = ConcurrentHashMap<String, Kept>()

    /** Returns the ranked addresses for [client], or an empty list when nobody answers. */
    public fun find(service: String, client: String): List<String> {
        val key = "$service/$client"
        val known = kept[key]
        if (known != null && clock.nowMs() < known.untilMs) return known.addresses
        val asked = (known?.addresses.orEmpty() + entries).distinct()
        val found = asked.firstNotNullOfOrNull { ask(it, service, client) }
        if (found != null) kept[key] = found
        return found?.addresses ?: known?.addresses.orEmpty()
    }

    private fun ask(entry: String, service: String, client: String): Kept? {
        val url = "http://$entry/lookup?service=$service&client=$client"
        val end = caller.call(HttpCall("GET", url, timeoutMs = LOOKUP_LIMIT_MS))
        if (end !is HttpResult.Completed || end.response.status != StatusCode.OK) return null
        return parse(end.response.body.decodeToString())
    }

    private fun parse(text: String): Kept? =
        try {
            val found = json.decodeFromString<FoundInstances>(text)
            Kept(found.instances.map { it.address.toString() }, clock.nowMs() + found.cacheTtlMs)
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            null
        }

    private data class Kept(val addresses: List<String>, val untilMs: Long)
}
