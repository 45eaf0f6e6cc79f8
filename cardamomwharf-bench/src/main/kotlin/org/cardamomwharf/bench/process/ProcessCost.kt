/*
 * Measures the processor time of real gateway processes: a start until the instance is ready, a second without
 * requests, and a request. A fleet spends most of its processor time on the first two when each instance gets few
 * requests, which benchmarks of single paths don't show.
 */
package org.cardamomwharf.bench.process

import org.cardamomwharf.bench.paths.Figure
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

private const val STORE = "127.60.250.1"
private const val KEYS = 40
private const val LOOK_MS = 100L
private const val SETTLING_MS = 2_000L
private const val IDLE_MS = 5_000L
private const val MS_PER_S = 1_000.0
private const val REQUEST_PAUSE_MS = 10L
private const val ROUNDS = 4

/**
 * Represents what is started.
 *
 * @param servers backend servers in the store; a few of them listen, the others stand in zones without callers.
 * @param requestsPerRound requests to each instance in each of four rounds.
 */
public data class FleetShape(
    public val instances: Int = 8,
    public val servers: Int = 44,
    public val requestsPerRound: Int = 150,
)

/** Returns the figures of a fleet of [shape], run with the command in the [deployFile]. */
public fun measureProcesses(shape: FleetShape, deployFile: Path, folder: Path): List<Figure> {
    Files.createDirectories(folder)
    val store = StoreStandin()
    store.write(configuration())
    val servers = (1..shape.servers).map { recordOf(it) }
    servers.forEach { store.write(it) }
    val running = servers.take(LISTENING_SERVERS).map {
        BackendStandin(it.name, service.value, SLOTS) { 0 }.start(it.address)
    }
    val storeServer = store.start(SocketAddress(STORE, PORT))
    val zoneNames = zones.keys.toList()
    val gateways = (0 until shape.instances).map {
        MeasuredGateway("i$it", zoneNames[it % zoneNames.size], zones, "127.60.1.${it + 1}", "$STORE:$PORT")
    }
    return try {
        val command = commandOf(Files.readString(deployFile))
        gateways.forEach { it.start(command, folder) }
        Measurement(gateways).use { it.run(shape.requestsPerRound) }
    } finally {
        gateways.forEach { it.kill() }
        running.forEach { it.stop() }
        storeServer.stop()
    }
}

private class Measurement(private val gateways: List<MeasuredGateway>) : AutoCloseable {
    private val caller: HttpClient = startJettyHttpClient(HttpClientSettings("bench", maxConnections = 64))
    private val senders = Executors.newFixedThreadPool(gateways.size)
    private val sent = AtomicInteger()

    fun run(requestsPerRound: Int): List<Figure> {
        gateways.forEach { awaitReady(it) }
        Thread.sleep(SETTLING_MS)
        val startMs = meanMs()
        Thread.sleep(IDLE_MS)
        val idleMsPerS = (meanMs() - startMs) / (IDLE_MS / MS_PER_S)
        val rounds = (1..ROUNDS).map { "request, round $it" to round(requestsPerRound, idleMsPerS) }
        return listOf("start" to startMs, "idle second" to idleMsPerS).plus(rounds)
            .map { (name, ms) -> Figure("$name, processor ms", ms, null) }
    }

    private fun meanMs(): Double = gateways.map { it.processorMs }.average()

    private fun awaitReady(gateway: MeasuredGateway) {
        while (statusOf("http://${gateway.readyAddress}/readyz", emptyList()) != StatusCode.OK) Thread.sleep(LOOK_MS)
    }

    /** Returns the processor time of one request beyond that of the time that the round takes. */
    private fun round(requests: Int, idleMsPerS: Double): Double {
        val startedAtNs = System.nanoTime()
        val beforeMs = meanMs()
        repeat(requests) {
            senders.invokeAll(gateways.map { Callable { request(it) } })
            Thread.sleep(REQUEST_PAUSE_MS)
        }
        val tookS = (System.nanoTime() - startedAtNs) / NS_PER_S
        return (meanMs() - beforeMs - idleMsPerS * tookS) / requests
    }

    private fun request(gateway: MeasuredGateway) {
        val number = sent.incrementAndGet()
        val headers = listOf(
            HttpField("Host", HOST),
            HttpField(HeaderNames.REQUEST_ID, "r$number"),
            HttpField(HeaderNames.AFFINITY_KEY, "${number % KEYS}"),
            HttpField(HeaderNames.DEADLINE_MS, "$CALL_MS"),
        )
        statusOf("http://${gateway.callerAddress}/reads/a", headers)
    }

    private fun statusOf(url: String, headers: List<HttpField>): Int? {
        val end = caller.call(HttpCall("GET", url, headers, timeoutMs = CALL_MS))
        return (end as? HttpResult.Completed)?.response?.status
    }

    override fun close() {
        senders.shutdown()
        caller.close()
    }

    private companion object {
        const val NS_PER_S = 1e9
    }
}
