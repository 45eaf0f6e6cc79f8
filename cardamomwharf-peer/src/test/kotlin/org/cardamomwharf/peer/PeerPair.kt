/*
 * Two instances connected through a relay, which makes the connections from the first to the second fail.
 */
package org.cardamomwharf.peer

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.standin.network.TcpRelay
import org.cardamomwharf.standin.network.startTcpRelay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

private const val PORT = 8_100
private const val IDLE_MS = 600_000L
private val hostNumbers = AtomicInteger()

private fun newAddress() = SocketAddress("127.0.4.${hostNumbers.incrementAndGet()}", PORT)

private const val POLL_MS = 20L
private const val MAX_POLLS = 1_500

/** Records the replies to the hand-overs of the near instance, and their failures. */
class HandOverLog : PeerHandler {
    val responses = ConcurrentHashMap<AttemptId, MutableList<String>>()
    val failures = ConcurrentHashMap<AttemptId, AttemptResult>()

    fun hasFailed(attempt: AttemptId): Boolean = failures.containsKey(attempt)

    override fun receive(message: PeerMessage, replies: ReplySender) = Unit

    override fun receiveReply(message: PeerMessage) {
        if (message !is PeerMessage.HandOverReply) return
        val body = message.response?.body?.decodeToString().orEmpty()
        responses.computeIfAbsent(message.attempt) { CopyOnWriteArrayList() } += body
    }

    override fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult) {
        failures[attempt] = result
    }
}

/** Replies to each hand-over with its path, and counts how often it ran. */
class EchoingPeer : PeerHandler {
    val runs = ConcurrentHashMap<AttemptId, Int>()

    override fun receive(message: PeerMessage, replies: ReplySender) {
        if (message !is PeerMessage.HandOver) return
        runs.merge(message.attempt, 1, Int::plus)
        val response = HandedOverResponse(200, emptyList(), message.request.pathAndQuery.toByteArray())
        replies.send(PeerMessage.HandOverReply(message.attempt, Reason.ANSWERED, 0, response))
    }

    override fun receiveReply(message: PeerMessage) = Unit

    override fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult) = Unit
}

class PeerPair : AutoCloseable {
    val log = HandOverLog()
    val echo = EchoingPeer()
    private val farAddress = newAddress()
    private val relayAddress = newAddress()
    val relay: TcpRelay = startTcpRelay(relayAddress, farAddress)
    private val settings = PeerSettings(
        pingAfterMs = 100,
        silenceTimeoutMs = 400,
        livenessMs = 300,
        monitorIntervalMs = 20,
        idleTimeoutMs = IDLE_MS
    )
    private val near = startPeerNode(newAddress(), settings, monotonicClock(), log)
    private val far = startPeerNode(farAddress, settings, monotonicClock(), echo)

    fun handOver(name: String): AttemptId {
        val attempt = AttemptId(name)
        val request = HandedOverRequest("GET", "/$name", emptyList(), ByteArray(0), "print")
        val limits = HandOverLimits(isIdempotent = false, remainingMs = 1_000, creditBytes = Long.MAX_VALUE)
        near.handOver(relayAddress, PeerMessage.HandOver(attempt, attempt, ServiceName("orders"), request, limits))
        return attempt
    }

    fun getResponses(attempt: AttemptId): List<String> = log.responses[attempt].orEmpty()

    override fun close() {
        near.close()
        far.close()
        relay.close()
    }
}

/** Waits until [isTrue]; fails after a time far beyond that of a passing run. */
fun eventually(what: String, isTrue: () -> Boolean) {
    repeat(MAX_POLLS) {
        if (isTrue()) return
        Thread.sleep(POLL_MS)
    }
    error("condition not met in time: $what")
}
