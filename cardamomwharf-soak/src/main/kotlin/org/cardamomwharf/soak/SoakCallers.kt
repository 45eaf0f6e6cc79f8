/*
 * The callers of a run. Half of them use the directory. The others stay with an instance until its connection fails,
 * like clients that use open connections until the process has exited.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyHttpClient
import kotlin.random.Random

private const val CALLERS = 12
private const val IDLE_CALLERS = 48
private const val PAUSE_MS = 25L
private const val LOOKUP_INTERVAL_MS = 1_000L
private const val KEYS = 16

/** On average, one request in this many is a booking. */
private const val REQUESTS_PER_BOOKING = 3

class SoakCallers(private val cluster: SoakCluster, private val record: SoakRecord, private val seed: Long) {
    @Volatile
    private var isStopped = false
    private val threads = ArrayList<Thread>()

    fun start() {
        repeat(CALLERS) { number -> launch("caller-$number") { runCaller(number) } }
        repeat(IDLE_CALLERS) { number ->
            val caller = IdleCaller(cluster, record, number, Random(seed * IDLE_CALLERS + number))
            launch("idle-$number") { caller.run { isStopped } }
        }
        cluster.gateways.forEach { gateway ->
            launch("probe-${gateway.name}") { VersionProbe(cluster, record, gateway).run { isStopped } }
        }
    }

    fun stop() {
        isStopped = true
        threads.forEach { it.join() }
    }

    private fun launch(name: String, run: () -> Unit) {
        threads += Thread(run, name).also { it.start() }
    }

    private fun runCaller(number: Int) {
        val random = Random(seed * CALLERS + number)
        val isSticky = number % 2 == 0
        val client = startJettyHttpClient(HttpClientSettings("caller-$number", maxThreads = 4))
        var instance = cluster.gateways[number % cluster.gateways.size]
        var lookedUpAtMs = 0L
        var count = 0
        while (!isStopped) {
            val result = sendRequest(client, instance, "s$number-${count++}", random)
            val isDue = cluster.clock.nowMs() - lookedUpAtMs > LOOKUP_INTERVAL_MS
            if (result.status == 0 || (isDue && !isSticky)) {
                instance = lookUpInstance(client, random) ?: cluster.gateways.random(random)
                lookedUpAtMs = cluster.clock.nowMs()
            }
            Thread.sleep(random.nextLong(PAUSE_MS * 2))
        }
        client.close()
    }

    private fun lookUpInstance(client: HttpClient, random: Random): GatewayProcess? {
        val directory = cluster.gateways.random(random)
        val url = "http://${directory.directoryAddress}/resolve?name=$HOST&region=a&zone=a1"
        val result = client.call(HttpCall("GET", url, timeoutMs = LOOKUP_INTERVAL_MS))
        val text = (result as? HttpResult.Completed)?.response?.body?.decodeToString().orEmpty()
        return cluster.gateways.filter { "\"${it.callerAddress}\"" in text }.randomOrNull(random)
    }

    private fun sendRequest(client: HttpClient, gateway: GatewayProcess, id: String, random: Random): CallRecord {
        val isBooking = random.nextInt(REQUESTS_PER_BOOKING) == 0
        val service = if (isBooking) "bookings" else "reads"
        val body = if (isBooking) "set ${random.nextInt()}".toByteArray() else ByteArray(0)
        val startedAtMs = cluster.clock.nowMs()
        val result = client.call(createCall(gateway, "/$service/$id", SoakRequest(id, "${random.nextInt(KEYS)}", body)))
        return createCallRecord(gateway, SentRequest(id, service, startedAtMs), cluster.clock.nowMs(), result)
            .also { record.calls.add(it) }
    }
}
