/*
 * Runs a gateway with a stand-in store and a stand-in backend server in one process, on loopback, and sends requests
 * through it. The build uses it to record the classes needed at startup, which shortens later starts.
 */
package org.cardamomwharf.gateway.selftest

import com.github.michaelbull.result.getOrThrow
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.gateway.GatewayProcess
import org.cardamomwharf.gateway.settings.GatewaySettings
import org.cardamomwharf.gateway.settings.parseGatewaySettings
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyHttpClient
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.platform.standin.BackendStandin
import org.cardamomwharf.platform.standin.StoreStandin
import org.cardamomwharf.platform.standin.write
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.ServiceTerms
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.servers.ServerRecord
import java.net.ServerSocket

private const val HOST = "127.0.0.1"
private const val MAX_REQUESTS = 100
private const val RETRY_DELAY_MS = 50L
private const val CALL_TIMEOUT_MS = 1_000L
private const val REQUIRED_RESPONSES = 20
private val service = ServiceName("s")
private val zone = ZoneName("z")

/** Returns true when a gateway in this process served the required number of requests. */
internal fun runSelfTest(): Boolean {
    val ports = freePorts()
    val backend = SocketAddress(HOST, ports.backend)
    BackendStandin(ServerName("s-1"), service.value, SLOTS) { 0 }.start(backend)
    val store = StoreStandin()
    store.write(desired)
    store.write(createServerRecord(backend))
    store.start(SocketAddress(HOST, ports.store))
    val process = GatewayProcess(createSettings(ports))
    if (process.start().isErr) return false
    val client = startJettyHttpClient(HttpClientSettings("self-test"))
    val servedCount = (1..MAX_REQUESTS).asSequence()
        .filter { isServed(client, ports.caller, it) }
        .take(REQUIRED_RESPONSES)
        .count()
    listOf(
        "${ports.directory}/resolve?name=a&region=r&zone=z",
        "${ports.ready}/readyz",
        "${ports.metrics}/metrics",
    ).forEach { client.call(HttpCall("GET", "http://$HOST:$it", timeoutMs = CALL_TIMEOUT_MS)) }
    process.stop(monotonicClock().nowMs())
    return servedCount == REQUIRED_RESPONSES
}

private fun isServed(client: HttpClient, port: Int, number: Int): Boolean {
    val headers = listOf(HttpField(HeaderNames.REQUEST_ID, "self-$number"), HttpField(HeaderNames.AFFINITY_KEY, "k"))
    val body = if (number % 2 == 0) ByteArray(0) else "body".toByteArray()
    val method = if (body.isEmpty()) "GET" else "POST"
    val result = client.call(HttpCall(method, "http://$HOST:$port/p/$number", headers, body, CALL_TIMEOUT_MS))
    val isServed = (result as? HttpResult.Completed)?.response?.status == StatusCode.OK
    if (!isServed) Thread.sleep(RETRY_DELAY_MS)
    return isServed
}

private fun createServerRecord(address: SocketAddress) = ServerRecord(
    name = ServerName("s-1"),
    service = service,
    address = address,
    zone = zone,
    slots = SLOTS,
    isDraining = false,
    startedAtUnixMs = 1,
    coldRemainingMs = 0,
)

/** Parses the settings from text as a normal start does, so that the parser classes are recorded too. */
private fun createSettings(ports: SelfTestPorts): GatewaySettings = parseGatewaySettings(
    """
    instance: "self"
    zone: "${zone.value}"
    zones:
      - { name: "${zone.value}", region: "r" }
    addresses:
      caller: "$HOST:${ports.caller}"
      ready: "$HOST:${ports.ready}"
      directory: "$HOST:${ports.directory}"
      store: "$HOST:${ports.store}"
      host: "$HOST"
    internalPorts: [${minOf(ports.peers, ports.metrics)}, ${maxOf(ports.peers, ports.metrics)}]
    bounds:
      stopS: 0.2
      retryRatio: 0.2
      retryAllowance: 10
      retryWindowS: 10
      largestShift: 0.15
    """.trimIndent(),
).getOrThrow { IllegalStateException(it.toString()) }

private class SelfTestPorts(
    val caller: Int,
    val ready: Int,
    val directory: Int,
    val peers: Int,
    val store: Int,
    val backend: Int,
) {
    val metrics: Int = freePort()
}

private fun freePorts() = SelfTestPorts(freePort(), freePort(), freePort(), freePort(), freePort(), freePort())

private fun freePort(): Int = ServerSocket(0).use { it.localPort }

private const val SLOTS = 4
private const val MAX_HEADER_BYTES = 16_384
private const val MAX_BODY_BYTES = 65_536L
private const val HEAD_TIMEOUT_MS = 3_000L
private const val IDLE_TIMEOUT_MS = 15_000L

private val desired = DesiredState(
    version = DocumentVersion(1),
    routes = listOf(
        Route(
            name = "a",
            host = HOST,
            prefix = "/p/",
            isIdempotent = true,
            backends = listOf(WeightedService(service, 1.0)),
            timeoutMs = 1_000,
            targetLatencyMs = 500,
            rank = 1,
            maxAttempts = 2,
            isSticky = true,
            allowedRegions = emptySet(),
        ),
    ),
    services = mapOf(service to ServiceTerms(service, "/h", SLOTS, coldStartMs = 0, coldPerSecond = 1.0)),
    callerLimits = CallerLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS),
)
