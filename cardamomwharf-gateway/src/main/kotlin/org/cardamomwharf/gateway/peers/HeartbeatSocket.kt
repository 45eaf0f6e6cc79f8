/*
 * The UDP socket for heartbeats. A blocking socket uses a third of the processor time of a Ktor socket here: an
 * instance sends few datagrams, and in Ktor each costs several thread hand-offs and a selector that wakes up twice a
 * second.
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

private const val MAX_DATAGRAM_BYTES = 65_507

/** Delay after a receive error, so that a broken socket doesn't occupy a processor. */
private const val RETRY_DELAY_MS = 500L

/** Sends and receives heartbeats at one address. */
internal class HeartbeatSocket(private val address: SocketAddress, private val log: DecisionLog) {
    private val channel = DatagramChannel.open(StandardProtocolFamily.INET)
    private val buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES)
    private var isReceivingInvalid = false

    @Volatile
    private var isSendFailing = false

    /** Binds the socket; throws IOException when the address is in use. */
    fun open() {
        channel.bind(InetSocketAddress(address.host, address.port))
    }

    /** Sends [heartbeat] to each of its recipients. */
    fun send(heartbeat: OutgoingHeartbeat) {
        val bytes = ByteBuffer.wrap(encodeHeartbeats(heartbeat.message))
        heartbeat.recipients.forEach { sendTo(it, bytes.duplicate()) }
    }

    /** Waits for a datagram and returns its message, or null when it isn't a valid heartbeat. */
    fun receive(): HeartbeatMessage? {
        buffer.clear()
        if (!receiveBytes()) return null
        val message = decodeHeartbeats(buffer.array().copyOf(buffer.position()))
        if (message == null && !isReceivingInvalid) {
            log.event("heartbeat-unreadable") { put("bytes", buffer.position()) }
        }
        isReceivingInvalid = message == null
        return message
    }

    /** Sends one datagram; a failure is treated as a lost datagram, and only the first of several is logged. */
    private fun sendTo(peer: InstanceRecord, bytes: ByteBuffer) = try {
        channel.send(bytes, InetSocketAddress(peer.peerAddress.host, peer.peerAddress.port))
        isSendFailing = false
    } catch (e: IOException) {
        if (!isSendFailing) log.event("heartbeat-failed") { put("error", e.toString()) }
        isSendFailing = true
    }

    private fun receiveBytes(): Boolean = try {
        channel.receive(buffer) != null
    } catch (e: IOException) {
        log.event("heartbeat-failed") { put("error", e.toString()) }
        Thread.sleep(RETRY_DELAY_MS)
        false
    }
}
