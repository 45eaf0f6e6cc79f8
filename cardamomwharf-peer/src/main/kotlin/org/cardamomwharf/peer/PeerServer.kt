/*
 * Accepts connections from peers, and passes each message to the handler with a sender for its replies.
 */
package org.cardamomwharf.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import org.cardamomwharf.core.SocketAddress

internal class PeerServer(private val settings: PeerSettings, private val handler: PeerHandler) {
    suspend fun bind(selector: SelectorManager, address: SocketAddress): ServerSocket =
        aSocket(selector).tcp().bind(InetSocketAddress(address.host, address.port)) { reuseAddress = true }

    suspend fun accept(scope: CoroutineScope, server: ServerSocket) {
        while (true) {
            val socket = server.accept()
            scope.launch { serve(scope, socket) }
        }
    }

    private suspend fun serve(scope: CoroutineScope, socket: Socket) {
        val queue = Channel<PeerMessage>(settings.maxQueuedMessages)
        val writing = scope.launch { writeAll(socket.openWriteChannel(autoFlush = false), queue) }
        try {
            socket.use { readAll(it.openReadChannel(), queue) }
        } catch (@Suppress("SwallowedException") e: IOException) {
            queue.close()
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            queue.close()
        } finally {
            queue.close()
            writing.cancel()
        }
    }

    private suspend fun readAll(channel: ByteReadChannel, queue: Channel<PeerMessage>) {
        val replies = ReplySender { queue.trySend(it).isSuccess }
        while (true) {
            val message = channel.readMessage()
            if (needsAck(message)) replies.send(PeerMessage.Ack)
            if (message !is PeerMessage.Ping) handler.receive(message, replies)
        }
    }

    private fun needsAck(message: PeerMessage): Boolean =
        message is PeerMessage.Ping || message is PeerMessage.HeartbeatMessage || message is PeerMessage.SummaryMessage

    private suspend fun writeAll(channel: ByteWriteChannel, queue: Channel<PeerMessage>) {
        try {
            for (message in queue) channel.writeFrame(encodeMessage(message))
        } catch (@Suppress("SwallowedException") e: IOException) {
            queue.close()
        }
    }
}
