/*
 * The socket for heartbeats. Blocking sockets take a third of the processor time that Ktor's take here: an instance
 * sends few datagrams, and each costs Ktor several hand-overs between threads and a selector that wakes twice a second.
 */
package org.cardamomwharf.gateway.peers

import kotlinx.serialization.json.put
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.OutgoingHeartbeat
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardProtocolFamily
import java.nio.ByteBuffer
import java.nio.channels.DatagramChannel

/** Size of the largest datagram. */
private const val MAX_DATAGRAM_BYTES = 65_507

/** Pause after a failure to receive, so that a broken socket doesn't take the processor. */
private const val RETRY_MS = 500L

/** Sends and receives heartbeats at one address. */
internal class HeartbeatSocket(private val address: SocketAddress, private val log: DecisionLog) {
    private val channel = DatagramChannel.open(StandardProtocolFamily.INET)
    private val received = ByteBuffer.allocate(MAX_DATAGRAM_BYTES)
    private var isReceivingInvalid = false

    @Volatile
    private var isFailing = false

    /** Binds the socket; throws IOException when the address is taken. */
    fun open() {
        channel.bind(InetSocketAddress(address.host, address.port))
    }

    /** Sends [sent] to each of its receivers. */
    fun send(sent: OutgoingHeartbeat) {
        val bytes = ByteBuffer.wrap(encodeHeartbeats(sent.message))
        sent.recipients.forEach { sendTo(it, bytes.duplicate()) }
    }

    /** Waits for a datagram and returns its message, or null when it isn't one of ours. */
    fun receive(): HeartbeatMessage? {
        received.clear()
        if (!receiveBytes()) return null
        val message = decodeHeartbeats(received.array().copyOf(received.position()))
        if (message == null && !isReceivingInvalid) {
            log.event("heartbeat-unreadable") { put("bytes", received.position()) }
        }
        isReceivingInvalid = message == null
        return message
    }

    /** Sends one datagram; a failure costs no more than a lost datagram and is logged when it begins. */
    private fun sendTo(peer: InstanceRecord, bytes: ByteBuffer) = try {
        channel.send(bytes, InetSocketAddress(peer.peerAddress.host, peer.peerAddress.port))
        isFailing = false
    } catch (e: IOException) {
        if (!isFailing) log.event("heartbeat-failed") { put("error", e.toString()) }
        isFailing = true
    }

    private fun receiveBytes(): Boolean = try {
        channel.receive(received) != null
    } catch (e: IOException) {
        log.event("heartbeat-failed") { put("error", e.toString()) }
        Thread.sleep(RETRY_MS)
        false
    }
}
