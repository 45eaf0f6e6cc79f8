/*
 * Measures the processor time of gateway processes: startup until ready, one idle second, and one request. When each
 * instance receives few requests, a fleet spends most of its processor time on startup and idle work, which benchmarks
 * of single code paths don't show.
 */
package org.cardamomwharf.bench.process

import org.cardamomwharf.bench.paths.BenchmarkResult
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
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
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

private const val STORE_HOST = "127.60.250.1"
private const val KEYS = 40
private const val POLL_INTERVAL_MS = 100L
private const val WARM_UP_MS = 2_000L
private const val IDLE_MS = 5_000L
private const val MS_PER_S = 1_000.0
private const val REQUEST_PAUSE_MS = 10L
private const val ROUNDS = 4

/**
 * Represents the size and load of the measured fleet.
 *
 * @param servers backend servers in the store; a few of them listen, the others are in a zone without callers.
 * @param requestsPerRound requests to each instance in each of four rounds.
 */
public data class FleetShape(
    public val instances: Int = 8,
    public val servers: Int = 44,
    public val requestsPerRound: Int = 150,
)

/** Returns the processor times of a fleet of [shape] started with the command in [deployFile]. */
public fun measureProcesses(shape: FleetShape, deployFile: Path, folder: Path): List<BenchmarkResult> {
    Files.createDirectories(folder)
    val store = StoreStandin()
    store.write(configuration())
    val servers = (1..shape.servers).map { createServerRecord(it) }
    servers.forEach { store.write(it) }
    val running = servers.take(LISTENING_SERVERS).map {
        BackendStandin(it.name, service.value, SLOTS) { 0 }.start(it.address)
    }
    val storeServer = store.start(SocketAddress(STORE_HOST, PORT))
    val zoneNames = zones.keys.toList()
    val gateways = (0 until shape.instances).map {
        MeasuredGateway("i$it", zoneNames[it % zoneNames.size], zones, "127.60.1.${it + 1}", "$STORE_HOST:$PORT")
    }
    return try {
        val command = readCommand(Files.readString(deployFile))
        gateways.forEach { it.start(command, folder) }
        FleetMeasurement(gateways).use { it.run(shape.requestsPerRound) }
    } finally {
        gateways.forEach { it.kill() }
        running.forEach { it.stop() }
        storeServer.stop()
    }
}

private class FleetMeasurement(private val gateways: List<MeasuredGateway>) : AutoCloseable {
    private val client: HttpClient = startJettyHttpClient(HttpClientSettings("bench", maxConnections = 64))
    private val senders = Executors.newFixedThreadPool(gateways.size)
    private val sent = AtomicInteger()

    fun run(requestsPerRound: Int): List<BenchmarkResult> {
        gateways.forEach { awaitReady(it) }
        Thread.sleep(WARM_UP_MS)
        val startMs = meanMs()
        Thread.sleep(IDLE_MS)
        val idleMsPerS = (meanMs() - startMs) / (IDLE_MS / MS_PER_S)
        val rounds = (1..ROUNDS).map { "request, round $it" to measureRound(requestsPerRound, idleMsPerS) }
        return listOf("start" to startMs, "idle second" to idleMsPerS).plus(rounds)
            .map { (name, ms) -> BenchmarkResult("$name, processor ms", ms, null) }
    }

    private fun meanMs(): Double = gateways.map { it.processorMs }.average()

    private fun awaitReady(gateway: MeasuredGateway) {
        while (getStatus("http://${gateway.readyAddress}/readyz", emptyList()) != StatusCode.OK) {
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    /** Returns the processor time per request after the idle work of the same period is subtracted. */
    private fun measureRound(requests: Int, idleMsPerS: Double): Double {
        val startedAtNs = System.nanoTime()
        val beforeMs = meanMs()
        repeat(requests) {
            senders.invokeAll(gateways.map { Callable { request(it) } })
            Thread.sleep(REQUEST_PAUSE_MS)
        }
        val elapsedS = (System.nanoTime() - startedAtNs) / NS_PER_S
        return (meanMs() - beforeMs - idleMsPerS * elapsedS) / requests
    }

    private fun request(gateway: MeasuredGateway) {
        val number = sent.incrementAndGet()
        val headers = listOf(
            HttpField("Host", HOST),
            HttpField(HeaderNames.REQUEST_ID, "r$number"),
            HttpField(HeaderNames.AFFINITY_KEY, "${number % KEYS}"),
            HttpField(HeaderNames.DEADLINE_MS, "$CALL_TIMEOUT_MS"),
        )
        getStatus("http://${gateway.callerAddress}/reads/a", headers)
    }

    private fun getStatus(url: String, headers: List<HttpField>): Int? {
        val result = client.call(HttpCall("GET", url, headers, timeoutMs = CALL_TIMEOUT_MS))
        return (result as? HttpResult.Completed)?.response?.status
    }

    override fun close() {
        senders.shutdown()
        client.close()
    }

    private companion object {
        const val NS_PER_S = 1e9
    }
}
