/*
 * One dialed connection to a peer, from dialing to its end. Silence is noticed by unanswered pings; what waits on a
 * dead connection ends as lost when its first byte was written, and as not sent otherwise.
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

internal class PeerLink(
    private val address: SocketAddress,
    private val settings: PeerSettings,
    private val clock: Clock,
    private val handler: PeerHandler,
) {
    private val queue = Channel<Outgoing>(settings.largestQueue)
    private val pending = ConcurrentHashMap<AttemptId, HandOverState>()

    @Volatile
    private var heardAtMs = clock.nowMs()

    @Volatile
    private var usedAtMs = clock.nowMs()

    @Volatile
    var isClosed: Boolean = false
        private set

    /** Whether the peer has shown lately that this connection works; a connection being dialed counts as proven. */
    val isProven: Boolean get() = clock.nowMs() - heardAtMs < settings.provenMs

    fun send(outgoing: Outgoing): Boolean {
        val message = outgoing.message
        usedAtMs = clock.nowMs()
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
            val socket = withTimeout(settings.connectMs) { aSocket(selector).tcp().connect(target) }
            heardAtMs = clock.nowMs()
            socket.use { talk(it) }
        } catch (@Suppress("SwallowedException") e: IOException) {
            isClosed = true
        } catch (@Suppress("SwallowedException") e: TimeoutCancellationException) {
            isClosed = true
        } finally {
            close()
        }
    }

    private suspend fun talk(socket: Socket) {
        coroutineScope {
            val reading = launch { readAll(socket.openReadChannel()) }
            val writing = launch { writeAll(socket.openWriteChannel(autoFlush = false)) }
            watch(reading, writing)
            reading.cancel()
            writing.cancel()
        }
    }

    private suspend fun watch(reading: Job, writing: Job) {
        while (reading.isActive && writing.isActive) {
            delay(settings.watchMs)
            val nowMs = clock.nowMs()
            val silentMs = nowMs - heardAtMs
            if (silentMs >= settings.silentMs || nowMs - usedAtMs >= settings.idleMs) return
            if (silentMs >= settings.pingAfterMs) queue.trySend(Outgoing(PeerMessage.Ping))
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
            while (true) take(channel.readMessage())
        } catch (@Suppress("SwallowedException") e: IOException) {
            isClosed = true
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            isClosed = true
        }
    }

    private fun take(message: PeerMessage) {
        heardAtMs = clock.nowMs()
        if (message is PeerMessage.HandOverEnd && pending.remove(message.attempt) == null) return
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
            if (result != null) handler.endHandOver(attempt, result)
        }
    }

    private enum class HandOverState { QUEUED, SENT }
}
