/*
 * One outgoing connection to a peer. A silent peer is detected by unanswered pings. When the connection is closed, a
 * pending hand-over is reported as lost if the write of its message had started, and as not sent otherwise.
 */
package org.cardamomwharf.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.decision.requests.AttemptResult
import java.util.concurrent.ConcurrentHashMap

internal class PeerConnection(
    private val address: SocketAddress,
    private val settings: PeerSettings,
    private val clock: Clock,
    private val handler: PeerHandler,
) {
    private val queue = Channel<OutgoingMessage>(settings.maxQueuedMessages)
    private val pending = ConcurrentHashMap<AttemptId, HandOverState>()

    @Volatile
    private var lastReceivedAtMs = clock.nowMs()

    @Volatile
    private var lastSentAtMs = clock.nowMs()

    @Volatile
    var isClosed: Boolean = false
        private set

    /** Whether a message has arrived recently; a connection that is being opened counts as alive. */
    val isAlive: Boolean get() = clock.nowMs() - lastReceivedAtMs < settings.livenessMs

    fun send(outgoing: OutgoingMessage): Boolean {
        val message = outgoing.message
        lastSentAtMs = clock.nowMs()
        if (message is PeerMessage.HandOver) pending[message.attempt] = HandOverState.QUEUED
        val isQueued = !isClosed && queue.trySend(outgoing).isSuccess
        if (!isQueued && message is PeerMessage.HandOver) pending.remove(message.attempt)
        return isQueued
    }

    fun start(scope: CoroutineScope, selector: SelectorManager) {
        scope.launch { run(selector) }
    }

    private suspend fun run(selector: SelectorManager) {
        try {
            val target = InetSocketAddress(address.host, address.port)
            val socket = withTimeout(settings.connectTimeoutMs) { aSocket(selector).tcp().connect(target) }
            lastReceivedAtMs = clock.nowMs()
            socket.use { exchangeMessages(it) }
        } catch (@Suppress("SwallowedException") e: IOException) {
            isClosed = true
        } catch (@Suppress("SwallowedException") e: TimeoutCancellationException) {
            isClosed = true
        } finally {
            close()
        }
    }

    private suspend fun exchangeMessages(socket: Socket) {
        coroutineScope {
            val reading = launch { readAll(socket.openReadChannel()) }
            val writing = launch { writeAll(socket.openWriteChannel(autoFlush = false)) }
            monitor(reading, writing)
            reading.cancel()
            writing.cancel()
        }
    }

    private suspend fun monitor(reading: Job, writing: Job) {
        while (reading.isActive && writing.isActive) {
            delay(settings.monitorIntervalMs)
            val nowMs = clock.nowMs()
            val silenceMs = nowMs - lastReceivedAtMs
            if (silenceMs >= settings.silenceTimeoutMs || nowMs - lastSentAtMs >= settings.idleTimeoutMs) return
            if (silenceMs >= settings.pingAfterMs) queue.trySend(OutgoingMessage(PeerMessage.Ping))
        }
    }

    private suspend fun writeAll(channel: ByteWriteChannel) {
        try {
            for (outgoing in queue) {
                val message = outgoing.message
                if (message is PeerMessage.HandOver) pending.replace(message.attempt, HandOverState.SENT)
                channel.writeFrame(outgoing.frame)
            }
        } catch (@Suppress("SwallowedException") e: IOException) {
            isClosed = true
        }
    }

    private suspend fun readAll(channel: ByteReadChannel) {
        try {
            while (true) receive(channel.readMessage())
        } catch (@Suppress("SwallowedException") e: IOException) {
            isClosed = true
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            isClosed = true
        }
    }

    private fun receive(message: PeerMessage) {
        lastReceivedAtMs = clock.nowMs()
        if (message is PeerMessage.HandOverReply && pending.remove(message.attempt) == null) return
        handler.receiveReply(message)
    }

    private fun close() {
        isClosed = true
        queue.close()
        for (attempt in pending.keys) {
            val result = when (pending.remove(attempt)) {
                HandOverState.QUEUED -> AttemptResult.NotSent(Reason.PEER_UNREACHABLE)
                HandOverState.SENT -> AttemptResult.Lost(Reason.CONNECTION_LOST)
                null -> null
            }
            if (result != null) handler.receiveHandOverFailure(attempt, result)
        }
    }

    private enum class HandOverState { QUEUED, SENT }
}
