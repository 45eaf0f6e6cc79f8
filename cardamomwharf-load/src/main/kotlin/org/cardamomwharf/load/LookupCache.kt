/*
 * Look-ups as a caller makes them: responses are cached for their time to live, and the next look-up goes to any entry
 * instance of the previous response.
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

private const val LOOKUP_TIMEOUT_MS = 1_000L
private val json = Json { ignoreUnknownKeys = true }

/** Represents an entry instance of a look-up response. */
@Serializable
public data class FoundInstance(
    public val instance: String,
    public val incarnation: Long,
    public val address: SocketAddress,
)

/** Represents a look-up response. */
@Serializable
public data class FoundInstances(
    public val documentVersion: Long,
    public val cacheTtlMs: Long,
    public val instances: List<FoundInstance>,
)

/** Looks up entry instances for the clients of a load run and caches the responses. */
public class LookupCache(
    private val httpClient: HttpClient,
    private val clock: Clock,
    private val entries: List<String>,
) {
    private val cache = ConcurrentHashMap<String, CachedLookup>()

    /** Returns the ranked addresses for [client], or an empty list when no instance responds. */
    public fun find(service: String, client: String): List<String> {
        val key = "$service/$client"
        val cached = cache[key]
        if (cached != null && clock.nowMs() < cached.expiresAtMs) return cached.addresses
        val candidates = (cached?.addresses.orEmpty() + entries).distinct()
        val found = candidates.firstNotNullOfOrNull { fetch(it, service, client) }
        if (found != null) cache[key] = found
        return found?.addresses ?: cached?.addresses.orEmpty()
    }

    private fun fetch(entry: String, service: String, client: String): CachedLookup? {
        val url = "http://$entry/lookup?service=$service&client=$client"
        val result = httpClient.call(HttpCall("GET", url, timeoutMs = LOOKUP_TIMEOUT_MS))
        if (result !is HttpResult.Completed || result.response.status != StatusCode.OK) return null
        return parse(result.response.body.decodeToString())
    }

    private fun parse(text: String): CachedLookup? =
        try {
            val found = json.decodeFromString<FoundInstances>(text)
            CachedLookup(found.instances.map { it.address.toString() }, clock.nowMs() + found.cacheTtlMs)
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            null
        }

    private data class CachedLookup(val addresses: List<String>, val expiresAtMs: Long)
}
