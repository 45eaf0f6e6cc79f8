/*
 * Measures the round-trip time of a hand-over between two instances over sockets on 127.0.0.0/8.
 */
package org.cardamomwharf.bench.paths

import org.HdrHistogram.Histogram
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.peer.HandOverLimits
import org.cardamomwharf.peer.HandedOverRequest
import org.cardamomwharf.peer.HandedOverResponse
import org.cardamomwharf.peer.PeerHandler
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.PeerSettings
import org.cardamomwharf.peer.ReplySender
import org.cardamomwharf.peer.startPeerNode
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.TimeUnit

private const val PORT = 8_100
private const val WARM_UPS = 500
private const val TRIPS = 2_000
private const val BODY_BYTES = 256
private const val TIMEOUT_MS = 5_000L
private const val MAX_LATENCY_US = 10_000_000L
private const val DIGITS = 3
private const val NS_PER_US = 1_000L
private const val US_PER_MS = 1_000.0
private const val MEDIAN = 50.0

/** A hand-over must not add more than the network round trip between two zones. */
private const val MAX_ROUND_TRIP_MS = 3.0

/** Returns the median round-trip time of a hand-over. */
public fun measureRoundTrip(): BenchmarkResult {
    val remoteAddress = SocketAddress("127.0.6.2", PORT)
    val replyWaiter = ReplyWaiter()
    val sender = startPeerNode(SocketAddress("127.0.6.1", PORT), PeerSettings(), monotonicClock(), replyWaiter)
    val receiver = startPeerNode(remoteAddress, PeerSettings(), monotonicClock(), EchoHandler())
    val histogram = Histogram(MAX_LATENCY_US, DIGITS)
    repeat(WARM_UPS + TRIPS) { number ->
        val startNs = System.nanoTime()
        sender.handOver(remoteAddress, createHandOver(number))
        replyWaiter.await()
        if (number >= WARM_UPS) histogram.recordValue((System.nanoTime() - startNs) / NS_PER_US)
    }
    sender.close()
    receiver.close()
    val medianMs = histogram.getValueAtPercentile(MEDIAN) / US_PER_MS
    return BenchmarkResult("hand-over and its answer over sockets, median milliseconds", medianMs, MAX_ROUND_TRIP_MS)
}

private fun createHandOver(number: Int): PeerMessage.HandOver {
    val attempt = AttemptId("attempt-$number")
    val request = HandedOverRequest("GET", "/item/$number", emptyList(), ByteArray(0), "print")
    val limits = HandOverLimits(isIdempotent = true, remainingMs = TIMEOUT_MS, creditBytes = Long.MAX_VALUE)
    return PeerMessage.HandOver(attempt, attempt, ServiceName("stan"), request, limits)
}

private class ReplyWaiter : PeerHandler {
    private val handOverReplies = SynchronousQueue<PeerMessage.HandOverReply>()

    fun await() {
        checkNotNull(handOverReplies.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            "no reply to a hand-over within $TIMEOUT_MS ms"
        }
    }

    override fun receive(message: PeerMessage, replies: ReplySender): Unit = Unit

    override fun receiveReply(message: PeerMessage) {
        if (message is PeerMessage.HandOverReply) handOverReplies.offer(message, TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    override fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult): Unit = Unit
}

private class EchoHandler : PeerHandler {
    private val response = HandedOverResponse(status = 200, fields = emptyList(), body = ByteArray(BODY_BYTES))

    override fun receive(message: PeerMessage, replies: ReplySender) {
        if (message is PeerMessage.HandOver) {
            replies.send(PeerMessage.HandOverReply(message.attempt, Reason.ANSWERED, 0, response))
        }
    }

    override fun receiveReply(message: PeerMessage): Unit = Unit

    override fun receiveHandOverFailure(attempt: AttemptId, result: AttemptResult): Unit = Unit
}
