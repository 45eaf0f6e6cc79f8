/*
 * Tests how a whole gateway responds to requests that are too large, ambiguous or have no route, and to requests before
 * the configuration is loaded. The store and the backend server are stand-ins.
 */
package org.cardamomwharf.gateway

import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.gateway.settings.parseGatewaySettings
import org.cardamomwharf.platform.standin.BackendStandin
import org.cardamomwharf.platform.standin.StoreFaults
import org.cardamomwharf.platform.standin.StoreStandin
import org.cardamomwharf.platform.standin.write
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.ServiceTerms
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.servers.ServerRecord
import java.net.Socket

private const val HOST = "127.0.7.1"
private const val CALLER_PORT = 8_000
private const val TIMEOUT_MS = 20_000
private const val MAX_BODY_BYTES = 1_000L
private const val MAX_ATTEMPTS = 200
private const val RETRY_DELAY_MS = 50L

class CallerLimitsTest : FunSpec({
    val service = ServiceName("reads")
    val store = StoreStandin()
    val backend = BackendStandin(ServerName("s-1"), service.value, slots = 4) { 0 }
    store.faults = StoreFaults(isRefusing = true)
    store.write(
        DesiredState(
            version = DocumentVersion(1),
            routes = listOf(
                Route("r", "h", "/r/", true, listOf(WeightedService(service, 1.0)), 1_000, 500, 1, 2, true, emptySet()),
            ),
            services = mapOf(service to ServiceTerms(service, "/health", 10, 0, 1.0)),
            callerLimits = CallerLimits(16_384, MAX_BODY_BYTES, 3_000, 15_000),
        ),
    )
    store.write(
        ServerRecord(ServerName("s-1"), service, SocketAddress(HOST, 9_000), ZoneName("z"), 4, false, 1, 0),
    )
    val servers = listOf(store.start(SocketAddress(HOST, 7_000)), backend.start(SocketAddress(HOST, 9_000)))
    val process = GatewayProcess(
        parseGatewaySettings(
            """
            instance: "i"
            zone: "z"
            zones:
              - { name: "z", region: "r" }
            addresses:
              caller: "$HOST:$CALLER_PORT"
              ready: "$HOST:8001"
              directory: "$HOST:8002"
              store: "$HOST:7000"
              host: "$HOST"
            internalPorts: [8100, 8115]
            bounds: { stopS: 0.2, retryRatio: 0.2, retryAllowance: 10, retryWindowS: 10, largestShift: 0.15 }
            """.trimIndent(),
        ).getOrThrow { IllegalStateException(it.toString()) },
    )
    process.start()
    afterSpec {
        process.stop(monotonicClock().nowMs())
        servers.forEach { it.stop() }
    }

    /** Sends [text] and returns the statuses of all responses until the connection is closed. */
    fun statuses(text: String): List<Int> = Socket(HOST, CALLER_PORT).use { socket ->
        socket.soTimeout = TIMEOUT_MS
        socket.getOutputStream().write(text.toByteArray())
        Regex("HTTP/1\\.1 (\\d+)").findAll(socket.getInputStream().bufferedReader().readText())
            .map { it.groupValues[1].toInt() }.toList()
    }

    fun request(path: String, fields: String = "", body: String = "", isLast: Boolean = true): String {
        val close = if (isLast) "Connection: close\r\n" else ""
        return "POST $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: ${path.length}\r\n$close$fields\r\n$body"
    }

    test("`requests are refused until the configuration is loaded and served soon after`") {
        statuses(request("/r/a", "Content-Length: 0\r\n")) shouldBe listOf(503)
        store.faults = StoreFaults()
        val first = (1..MAX_ATTEMPTS).firstOrNull {
            Thread.sleep(RETRY_DELAY_MS)
            statuses(request("/r/a", "Content-Length: 0\r\n")) == listOf(200)
        }
        (first != null) shouldBe true
    }

    test("`a path without a route gets status 404`") {
        statuses(request("/other/", "Content-Length: 0\r\n")) shouldBe listOf(404)
    }

    test("`a body over the limit is refused with either framing and never reaches a backend server`") {
        val before = backend.runs.size
        val body = "x".repeat(MAX_BODY_BYTES.toInt() + 1)
        statuses(request("/r/large", "Content-Length: ${body.length}\r\n", body)) shouldBe listOf(413)
        val chunk = "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n"
        statuses(request("/r/large", "Transfer-Encoding: chunked\r\n", chunk)) shouldBe listOf(413)
        backend.runs.drop(before) shouldHaveSize 0
    }

    test("`headers over the limit are refused`") {
        statuses(request("/r/a", "X-Long: ${"x".repeat(20_000)}\r\nContent-Length: 0\r\n")) shouldBe listOf(431)
    }

    test("`two content lengths, or a content length with chunks, are refused and nothing after them runs`") {
        val before = backend.runs.size
        val hidden = request("/r/hidden", "Content-Length: 0\r\n")
        val twice = request("/r/a", "Content-Length: 0\r\nContent-Length: ${hidden.length}\r\n", hidden, isLast = false)
        val framing = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
        val both = request("/r/a", framing, "0\r\n\r\n$hidden", isLast = false)
        listOf(twice, both).forEach { statuses(it) shouldBe listOf(400) }
        backend.runs.drop(before).filter { "hidden" in it.path } shouldHaveSize 0
    }

    test("`pipelined requests on one connection are answered in order`") {
        val pipelined =
            request("/r/a", "Content-Length: 0\r\n", isLast = false) + request("/r/bc", "Content-Length: 0\r\n")
        statuses(pipelined) shouldBe listOf(200, 200)
        backend.runs.map { it.path } shouldContain "/r/bc"
    }
})
