/*
 * The datagrams that carry heartbeats.
 */
package org.cardamomwharf.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.instances.Heartbeat
import org.cardamomwharf.steering.instances.InstanceRecord

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** Returns the bytes of a datagram with [beats]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeHeartbeats(beats: List<Heartbeat>): ByteArray =
    cbor.encodeToByteArray(WireHeartbeats(beats.map { it.toWire() }))

/** Returns the heartbeats in a datagram; none when it isn't one of ours, since anybody may send to the port. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeHeartbeats(bytes: ByteArray): List<Heartbeat> = try {
    cbor.decodeFromByteArray<WireHeartbeats>(bytes).beats.mapNotNull { it.toHeartbeat() }
} catch (@Suppress("SwallowedException") e: SerializationException) {
    emptyList()
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
private data class WireHeartbeats(val beats: List<WireHeartbeat>)

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
