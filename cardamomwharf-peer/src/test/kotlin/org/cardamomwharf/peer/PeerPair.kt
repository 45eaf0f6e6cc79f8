/*
 * Two instances joined by a relay, so that the connections of the first to the second can be made to fail.
 */
package org.cardamomwharf.peer

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.standin.network.WireRelay
import org.cardamomwharf.standin.network.startWireRelay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

private const val PORT = 8_100
private const val IDLE_MS = 600_000L
private val hostNumbers = AtomicInteger()

private fun newAddress() = SocketAddress("127.0.4.${hostNumbers.incrementAndGet()}", PORT)

private const val POLL_MS = 20L
private const val LARGEST_POLLS = 1_500

/** What the near instance was told of its hand-overs. */
class HandOverLog : PeerHandler {
    val answers = ConcurrentHashMap<AttemptId, MutableList<String>>()
    val ends = ConcurrentHashMap<AttemptId, AttemptResult>()

    fun hasEnded(attempt: AttemptId): Boolean = ends.containsKey(attempt)

    override fun receive(message: PeerMessage, replies: ReplySender) = Unit

    override fun receiveReply(message: PeerMessage) {
        if (message !is PeerMessage.HandOverReply) return
        val body = message.response?.body?.decodeToString().orEmpty()
        answers.computeIfAbsent(message.attempt) { CopyOnWriteArrayList() } += body
    }

    override fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult) {
        ends[attempt] = result
    }
}

/** Answers each hand-over with the path that it asked for, and counts how often it ran. */
class EchoingPeer : PeerHandler {
    val runs = ConcurrentHashMap<AttemptId, Int>()

    override fun receive(message: PeerMessage, replies: ReplySender) {
        if (message !is PeerMessage.HandOver) return
        runs.merge(message.attempt, 1, Int::plus)
        val answer = HandedOverResponse(200, emptyList(), message.request.pathAndQuery.toByteArray())
        replies.send(PeerMessage.HandOverReply(message.attempt, Reason.ANSWERED, 0, answer))
    }

    override fun receiveReply(message: PeerMessage) = Unit

    override fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult) = Unit
}

class PeerPair : AutoCloseable {
    val log = HandOverLog()
    val echo = EchoingPeer()
    private val farAddress = newAddress()
    private val relayAddress = newAddress()
    val relay: WireRelay = startWireRelay(relayAddress, farAddress)
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

    fun answersOf(attempt: AttemptId): List<String> = log.answers[attempt].orEmpty()

    override fun close() {
        near.close()
        far.close()
        relay.close()
    }
}

/** Waits until [isTrue]; fails after a long time that no healthy run comes near. */
fun eventually(what: String, isTrue: () -> Boolean) {
    repeat(LARGEST_POLLS) {
        if (isTrue()) return
        Thread.sleep(POLL_MS)
    }
    error("never came true: $what")
}
