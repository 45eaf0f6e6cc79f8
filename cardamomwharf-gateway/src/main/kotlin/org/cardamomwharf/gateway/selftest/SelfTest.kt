/*
 * Runs a gateway against a small store and a backend server in the same process, on loopback, and sends requests
 * through it. The build uses it to record which classes a start needs, so that starts are short.
 */
package org.cardamomwharf.gateway.selftest

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.gateway.GatewayProcess
import org.cardamomwharf.gateway.settings.GatewayAddresses
import org.cardamomwharf.gateway.settings.GatewayBounds
import org.cardamomwharf.gateway.settings.GatewaySettings
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpCaller
import org.cardamomwharf.http.HttpCallerSettings
import org.cardamomwharf.http.HttpEnd
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpServerSettings
import org.cardamomwharf.http.Route
import org.cardamomwharf.http.call
import org.cardamomwharf.http.jsonResponse
import org.cardamomwharf.http.routesOf
import org.cardamomwharf.http.startJettyCaller
import org.cardamomwharf.http.startJettyServer
import org.cardamomwharf.platform.FieldNames
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.ServerSocket
import java.util.Base64

private const val HOST = "127.0.0.1"
private const val TRIES = 100
private const val PAUSE_MS = 50L
private const val CALL_MS = 1_000L
private const val WANTED_ANSWERS = 20
private const val SELF_TEST_STOP_MS = 200L

/** Returns true when requests were served through a gateway in this process. */
internal fun runSelfTest(): Boolean {
    val ports = freePorts()
    val backend = SocketAddress(HOST, ports.backend)
    startJettyServer(HttpServerSettings(backend), handler = ::answer)
    startJettyServer(HttpServerSettings(SocketAddress(HOST, ports.store)), handler = storeOf(backend))
    val process = GatewayProcess(settingsOf(ports))
    process.start()
    val caller = startJettyCaller(HttpCallerSettings("self-test"))
    val answered = (1..TRIES).asSequence()
        .filter { isServed(caller, ports.caller, it) }
        .take(WANTED_ANSWERS)
        .count()
    listOf(
        "${ports.directory}/resolve?name=a&region=r&zone=z",
        "${ports.ready}/readyz",
        "${ports.metrics}/metrics",
    ).forEach { caller.call(HttpCall("GET", "http://$HOST:$it", limitMs = CALL_MS)) }
    process.stop()
    return answered == WANTED_ANSWERS
}

private fun isServed(caller: HttpCaller, port: Int, number: Int): Boolean {
    val headers = listOf(HttpField(FieldNames.REQUEST_ID, "self-$number"), HttpField(FieldNames.AFFINITY_KEY, "k"))
    val body = if (number % 2 == 0) ByteArray(0) else "body".toByteArray()
    val method = if (body.isEmpty()) "GET" else "POST"
    val end = caller.call(HttpCall(method, "http://$HOST:$port/p/$number", headers, body, CALL_MS))
    val isServed = (end as? HttpEnd.Answered)?.answer?.status == StatusCode.OK
    if (!isServed) Thread.sleep(PAUSE_MS)
    return isServed
}

private fun answer(request: Request): Response = Response(Status.OK)
    .header(FieldNames.REQUEST_ID, request.header(FieldNames.REQUEST_ID))
    .header(FieldNames.SIGNATURE, "s")
    .header(FieldNames.SERVER_LOAD, "0,0,4")
    .body("answer")

private fun storeOf(backend: SocketAddress) = routesOf(
    Route(null, "/rows-get") { request ->
        val rows = when (request.query("table")) {
            "op" -> row("op", "config", DESIRED)
            "servers" -> row("servers", "s-1", SERVER.replace("ADDRESS", backend.toString()))
            else -> ""
        }
        answerOf("""{"rows":[$rows],"truncated":false,"ver":5,"now_ms":1}""")
    },
    Route(null, "/rows-feed") { request ->
        Thread.sleep(CALL_MS)
        answerOf("""{"rows":[],"ver":${request.query("after")},"now_ms":1}""")
    },
    Route(null, "/rows-tx") { answerOf("""{"ver":6,"now_ms":1}""") },
)

private fun answerOf(json: String): Response = jsonResponse(StatusCode.OK, json)

private fun row(table: String, key: String, value: String): String {
    val encoded = Base64.getEncoder().encodeToString(value.toByteArray())
    return """{"table":"$table","part":"","key":"$key","value":"$encoded","ver":5}"""
}

private fun settingsOf(ports: SelfTestPorts) = GatewaySettings(
    instance = InstanceName("self"),
    zone = ZoneName("z"),
    zones = mapOf(ZoneName("z") to RegionName("r")),
    addresses = GatewayAddresses(
        caller = SocketAddress(HOST, ports.caller),
        ready = SocketAddress(HOST, ports.ready),
        directory = SocketAddress(HOST, ports.directory),
        store = SocketAddress(HOST, ports.store),
        host = HOST,
    ),
    peerPort = ports.peers,
    metricsPort = ports.metrics,
    bounds = GatewayBounds(
        stopMs = SELF_TEST_STOP_MS,
        retryRatio = 0.2,
        retryAllowance = 10,
        retryWindowMs = 10_000,
        largestShift = 0.15,
    ),
)

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

private const val DESIRED = """{"version":"r1","routes":[{"name":"a","host":"127.0.0.1","prefix":"/p/",""" +
    """"kind":"idempotent","timeout_ms":1000,"target_latency_ms":500,"priority":1,"service":"s","max_attempts":2,""" +
    """"sticky":true,"allowed_regions":[]}],"services":[{"name":"s","health_path":"/h","max_connections":9,""" +
    """"cold_start_s":1.0,"cold_per_s":5.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,""" +
    """"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""

private const val SERVER = """{"address":"ADDRESS","info":{"service":"s","version":"v","zone":"z","slots":4},""" +
    """"status":{"state":"ready","sequence":1,"cold_remaining_ms":0},"born":1}"""
