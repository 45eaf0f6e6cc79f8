/*
 * The zones, backend servers and configuration of the measured fleet.
 */
package org.cardamomwharf.bench.process

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.ServiceTerms
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.servers.ServerRecord

internal const val HOST: String = "shop.example"
internal const val PORT: Int = 9_000
internal const val SLOTS: Int = 8

/** The number of backend servers that listen; the others are only registered in the store. */
internal const val LISTENING_SERVERS: Int = 12

internal const val CALL_TIMEOUT_MS: Long = 2_000
internal val service: ServiceName = ServiceName("reads")
internal val zones: Map<String, String> = mapOf("a1" to "a", "a2" to "a", "b1" to "b", "b2" to "b")
private const val TARGET_MS = 300L
private const val MAX_CONNECTIONS = 400
private const val COLD_PER_SECOND = 5.0
private const val MAX_HEADER_BYTES = 16_384
private const val MAX_BODY_BYTES = 65_536L
private const val HEADER_TIMEOUT_MS = 3_000L
private const val IDLE_TIMEOUT_MS = 15_000L
private const val MAX_HOST_NUMBER = 250

internal fun createServerRecord(number: Int): ServerRecord {
    val isListening = number <= LISTENING_SERVERS
    val zone = if (isListening) zones.keys.elementAt(number % zones.size) else "elsewhere"
    return ServerRecord(
        name = ServerName("s-$number"),
        service = if (isListening) service else ServiceName("other"),
        address = SocketAddress("127.60.3.${number % MAX_HOST_NUMBER + 1}", PORT),
        zone = ZoneName(zone),
        slots = SLOTS,
        isDraining = false,
        startedAtUnixMs = 1,
        coldRemainingMs = 0,
    )
}

internal fun configuration() = DesiredState(
    version = DocumentVersion(1),
    routes = listOf(
        Route(
            name = "reads",
            host = HOST,
            prefix = "/reads/",
            isIdempotent = true,
            backends = listOf(WeightedService(service, 1.0)),
            timeoutMs = CALL_TIMEOUT_MS,
            targetLatencyMs = TARGET_MS,
            rank = 1,
            maxAttempts = 2,
            isSticky = true,
            allowedRegions = emptySet(),
        ),
    ),
    services = mapOf(service to createServiceTerms(service)),
    callerLimits = CallerLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS),
)

private fun createServiceTerms(service: ServiceName) =
    ServiceTerms(service, "/health", MAX_CONNECTIONS, coldStartMs = 0, COLD_PER_SECOND)
