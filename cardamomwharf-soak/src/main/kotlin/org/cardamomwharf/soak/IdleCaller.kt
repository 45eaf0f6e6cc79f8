/*
 * A caller that opens a connection before it needs it, leaves it idle between requests, and goes on using it until it
 * closes. A request whose connection closed is not repeated: the next one has its own request ID, and the records of
 * the backend servers tell whether the one before ran.
 */
package org.cardamomwharf.soak

import kotlin.random.Random

/** Minimum idle time; a gateway that stops closes a connection after it. */
private const val MIN_IDLE_MS = 250L

/** Idle times that end around the closing of idle connections. */
private const val MAX_SHORT_IDLE_MS = 300L
private const val MAX_IDLE_MS = 1_500L

/** Idle times as long as a stop takes. */
private const val MAX_LONG_IDLE_MS = 5_500L
private val maxIdleTimesMs = listOf(MAX_SHORT_IDLE_MS, MAX_IDLE_MS, MAX_LONG_IDLE_MS)

/** On average, one request in this many is a booking. */
private const val REQUESTS_PER_BOOKING = 2

internal class IdleCaller(
    private val cluster: SoakCluster,
    private val record: SoakRecord,
    private val number: Int,
    private val random: Random,
) {
    private val maxIdleMs = maxIdleTimesMs[number % maxIdleTimesMs.size]
    private var gateway = cluster.gateways[number / maxIdleTimesMs.size % cluster.gateways.size]
    private var connection: KeptConnection? = null
    private var count = 0

    /** Sends requests until [isStopped] returns true. */
    fun run(isStopped: () -> Boolean) {
        while (!isStopped()) {
            val current = connection ?: connectCaller(gateway)
            Thread.sleep(random.nextLong(MIN_IDLE_MS, maxIdleMs))
            if (current == null) gateway = cluster.gateways.random(random)
            connection = current?.takeIf { send(it) }
        }
        connection?.close()
    }

    /** Sends a request on [connection]; returns whether the connection can be used again. */
    private fun send(connection: KeptConnection): Boolean {
        val id = "k$number-${count++}"
        val isBooking = random.nextInt(REQUESTS_PER_BOOKING) == 0
        val service = if (isBooking) "bookings" else "reads"
        val body = if (isBooking) "set ${random.nextInt()}".toByteArray() else ByteArray(0)
        val startedAtMs = cluster.clock.nowMs()
        val result = connection.call(createCall(gateway, "/$service/$id", SoakRequest(id, "$number", body)))
        record.calls.add(
            createCallRecord(gateway, SentRequest(id, service, startedAtMs), cluster.clock.nowMs(), result),
        )
        return connection.isOpen
    }
}
