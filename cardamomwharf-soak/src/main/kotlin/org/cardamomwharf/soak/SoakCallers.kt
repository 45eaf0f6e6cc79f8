/*
 * Callers of a run. Half of them follow the directory, the others keep to an instance until its connection fails, as
 * clients do that use open connections until the process is gone.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpFailure
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyHttpClient
import org.cardamomwharf.platform.HeaderNames
import org.cardamomwharf.platform.standin.BackendStandin
import kotlin.random.Random

private const val CALLERS = 12
private const val PAUSE_MS = 25L
private const val ASK_EVERY_MS = 1_000L
private const val KEYS = 16

/** One request in this many is a booking. */
private const val BOOKINGS_OF = 3

class SoakCallers(private val world: SoakWorld, private val record: SoakRecord, private val seed: Long) {
    @Volatile
    private var isOver = false
    private val threads = ArrayList<Thread>()

    fun start() {
        repeat(CALLERS) { number -> launch("caller-$number") { callOn(number) } }
        world.gateways.forEach { gateway ->
            launch("probe-${gateway.name}") { VersionProbe(world, record, gateway).run { isOver } }
        }
    }

    fun stop() {
        isOver = true
        threads.forEach { it.join() }
    }

    private fun launch(name: String, run: () -> Unit) {
        threads += Thread(run, name).also { it.start() }
    }

    private fun callOn(number: Int) {
        val random = Random(seed * CALLERS + number)
        val isStubborn = number % 2 == 0
        val caller = startJettyHttpClient(HttpClientSettings("caller-$number", maxThreads = 4))
        var instance = world.gateways[number % world.gateways.size]
        var askedAtMs = 0L
        var count = 0
        while (!isOver) {
            val result = callOnce(caller, instance, "s$number-${count++}", random)
            val isDue = world.clock.nowMs() - askedAtMs > ASK_EVERY_MS
            if (result.status == 0 || (isDue && !isStubborn)) {
                instance = choose(caller, random) ?: world.gateways.random(random)
                askedAtMs = world.clock.nowMs()
            }
            Thread.sleep(random.nextLong(PAUSE_MS * 2))
        }
        caller.close()
    }

    private fun choose(caller: HttpClient, random: Random): GatewayHandle? {
        val asked = world.gateways.random(random)
        val url = "http://${asked.directoryAddress}/resolve?name=$HOST&region=a&zone=a1"
        val end = caller.call(HttpCall("GET", url, timeoutMs = ASK_EVERY_MS))
        val text = (end as? HttpResult.Completed)?.response?.body?.decodeToString().orEmpty()
        return world.gateways.filter { "\"${it.callerAddress}\"" in text }.randomOrNull(random)
    }

    private fun callOnce(caller: HttpClient, to: GatewayHandle, id: String, random: Random): CallRecord {
        val isBooking = random.nextInt(BOOKINGS_OF) == 0
        val service = if (isBooking) "bookings" else "reads"
        val body = if (isBooking) "set ${random.nextInt()}".toByteArray() else ByteArray(0)
        val startedAtMs = world.clock.nowMs()
        val end = caller.call(callOf(to, "/$service/$id", SoakCall(id, "${random.nextInt(KEYS)}", body)))
        val answer = (end as? HttpResult.Completed)?.response
        val isOwn = answer != null && answer.findHeader(HeaderNames.REQUEST_ID) == id &&
            answer.findHeader(HeaderNames.SIGNATURE) == BackendStandin.createSignature(id) &&
            answer.body.decodeToString() == BackendStandin.createBody(id, service)
        return CallRecord(
            id = id,
            instance = to.name,
            path = "/$service/",
            isIdempotent = !isBooking,
            startedAtMs = startedAtMs,
            endedAtMs = world.clock.nowMs(),
            status = answer?.status ?: 0,
            isOwnWholeAnswer = isOwn,
            isCut = end is HttpResult.Lost && end.failure != HttpFailure.TIMEOUT,
        ).also { record.calls.add(it) }
    }
}
