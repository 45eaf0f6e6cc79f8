/*
 * The datagrams that carry heartbeats. Counts stand in two lists of their own, because most of what is told are counts
 * and a list of numbers is read much faster than a list of objects.
 */
package org.cardamomwharf.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.instances.Heartbeat
import org.cardamomwharf.steering.instances.HeartbeatCount
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.StoreStatus

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** Separates names; it can't occur in them. */
private const val NAME_SEPARATOR = '\n'

/** Numbers of each instance in the list of numbers: incarnation, count, and 1 for one that is leaving. */
private const val NUMBERS_PER_INSTANCE = 3
private const val COUNT_OFFSET = 1
private const val LEAVING_OFFSET = 2

/** Returns the bytes of a datagram with [message]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeHeartbeats(message: HeartbeatMessage): ByteArray {
    val numbers = LongArray(message.counts.size * NUMBERS_PER_INSTANCE)
    message.counts.forEachIndexed { index, counted ->
        val at = index * NUMBERS_PER_INSTANCE
        numbers[at] = counted.incarnation.value
        numbers[at + COUNT_OFFSET] = counted.count
        numbers[at + LEAVING_OFFSET] = if (counted.isLeaving) 1 else 0
    }
    val names = message.counts.joinToString(NAME_SEPARATOR.toString()) { it.name.value }
    val wire = WireMessage(
        message.sender.toWire(),
        message.newInstances.map { it.toWire() },
        names,
        numbers,
        message.storeStatus,
    )
    return frame(cbor.encodeToByteArray(wire))
}

/** Returns the message in a datagram; null when it isn't one of ours, since anybody may send to the port. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeHeartbeats(bytes: ByteArray): HeartbeatMessage? {
    val payload = unframe(bytes) ?: return null
    val wire = cbor.decodeFromByteArray<WireMessage>(payload)
    return wire.sender.toHeartbeat()?.let { sender ->
        HeartbeatMessage(sender, wire.introduced.mapNotNull { it.toHeartbeat() }, wire.counts(), wire.news)
    }
}

@Serializable
private data class WireHeartbeat(
    val name: String,
    val zone: String,
    val caller: String,
    val peer: String,
    val incarnation: Long,
    val count: Long,
    val isLeaving: Boolean,
)

@Serializable
private class WireMessage(
    val sender: WireHeartbeat,
    val introduced: List<WireHeartbeat> = emptyList(),
    val names: String = "",
    val numbers: LongArray = LongArray(0),
    val news: StoreStatus? = null,
) {
    fun counts(): List<HeartbeatCount> {
        val split = if (names.isEmpty()) emptyList() else names.split(NAME_SEPARATOR)
        if (numbers.size != split.size * NUMBERS_PER_INSTANCE) return emptyList()
        return split.mapIndexed { index, name ->
            val at = index * NUMBERS_PER_INSTANCE
            val isLeaving = numbers[at + LEAVING_OFFSET] != 0L
            HeartbeatCount(InstanceName(name), Incarnation(numbers[at]), numbers[at + COUNT_OFFSET], isLeaving)
        }
    }
}

private fun Heartbeat.toWire() = WireHeartbeat(
    record.name.value,
    record.zone.value,
    record.callerAddress.toString(),
    record.peerAddress.toString(),
    incarnation.value,
    count,
    isLeaving,
)

private fun WireHeartbeat.toHeartbeat(): Heartbeat? {
    val callerAddress = SocketAddress.parse(caller)
    val peerAddress = SocketAddress.parse(peer)
    if (callerAddress == null || peerAddress == null) return null
    val record = InstanceRecord(InstanceName(name), ZoneName(zone), callerAddress, peerAddress)
    return Heartbeat(record, Incarnation(incarnation), count, isLeaving)
}
