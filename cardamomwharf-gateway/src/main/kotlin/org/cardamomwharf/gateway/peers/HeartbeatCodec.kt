/*
 * Encodes and decodes heartbeat datagrams. Heartbeat counts have two lists of their own, one of names and one of
 * numbers: they are most of the content, and a list of numbers decodes much faster than a list of objects.
 */
package org.cardamomwharf.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.crashes.CrashMessage
import org.cardamomwharf.steering.instances.Heartbeat
import org.cardamomwharf.steering.instances.HeartbeatCount
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.store.StoreVersion
import org.cardamomwharf.steering.teams.Confirmation

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** Separates names; doesn't occur in names. */
private const val NAME_SEPARATOR = '\n'

/** Numbers per instance in the list of numbers: incarnation, heartbeat count, and 1 if the instance is leaving. */
private const val NUMBERS_PER_INSTANCE = 3
private const val COUNT_OFFSET = 1
private const val LEAVING_OFFSET = 2

/** Encodes [message] as a datagram. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeHeartbeats(message: HeartbeatMessage): ByteArray {
    val numbers = LongArray(message.counts.size * NUMBERS_PER_INSTANCE)
    message.counts.forEachIndexed { index, heartbeat ->
        val offset = index * NUMBERS_PER_INSTANCE
        numbers[offset] = heartbeat.incarnation.value
        numbers[offset + COUNT_OFFSET] = heartbeat.count
        numbers[offset + LEAVING_OFFSET] = if (heartbeat.isLeaving) 1 else 0
    }
    val names = message.counts.joinToString(NAME_SEPARATOR.toString()) { it.name.value }
    val wire = WireMessage(
        message.sender.toWire(),
        message.newInstances.map { it.toWire() },
        names,
        numbers,
        message.storeStatus?.toWire(message.confirmation),
        message.crashes,
    )
    wire.teamLimits = message.teamLimits?.let { encodeTeamLimits(it) }
    return frame(cbor.encodeToByteArray(wire))
}

/** Decodes a datagram; returns null when it isn't a valid heartbeat, as any process may send to the port. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeHeartbeats(bytes: ByteArray): HeartbeatMessage? {
    val payload = unframe(bytes) ?: return null
    val wire = cbor.decodeFromByteArray<WireMessage>(payload)
    return wire.sender.toHeartbeat()?.let { sender ->
        val newInstances = wire.newInstances.mapNotNull { it.toHeartbeat() }
        HeartbeatMessage(
            sender,
            newInstances,
            wire.toCounts(),
            wire.storeStatus?.toStatus(),
            wire.crashes,
            wire.storeStatus?.confirmation,
            wire.teamLimits?.let { decodeTeamLimits(it) },
        )
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

@OptIn(ExperimentalSerializationApi::class)
@Serializable
private class WireMessage(
    val sender: WireHeartbeat,
    @SerialName("introduced")
    val newInstances: List<WireHeartbeat> = emptyList(),
    val names: String = "",
    val numbers: LongArray = LongArray(0),
    @SerialName("news")
    val storeStatus: WireStatus? = null,
    val crashes: CrashMessage? = null,
) {
    @ByteString
    var teamLimits: ByteArray? = null

    fun toCounts(): List<HeartbeatCount> {
        val nameList = if (names.isEmpty()) emptyList() else names.split(NAME_SEPARATOR)
        if (numbers.size != nameList.size * NUMBERS_PER_INSTANCE) return emptyList()
        return nameList.mapIndexed { index, name ->
            val offset = index * NUMBERS_PER_INSTANCE
            val isLeaving = numbers[offset + LEAVING_OFFSET] != 0L
            HeartbeatCount(InstanceName(name), Incarnation(numbers[offset]), numbers[offset + COUNT_OFFSET], isLeaving)
        }
    }
}

@Serializable
private class WireStatus(
    val content: WireVersions,
    val silentForMs: Long,
    val isFailing: Boolean,
    val confirmation: Confirmation? = null,
) {
    /**
     * Processes of an earlier release state no epochs and miss changes after a restore of the store, so other instances
     * don't rely on them.
     */
    fun toStatus(): StoreStatus {
        val versions = ContentVersions(
            StoreVersion(content.ordersEpoch ?: 0, content.orders),
            StoreVersion(content.serversEpoch ?: 0, content.servers),
        )
        val hasEpochs = content.ordersEpoch != null && content.serversEpoch != null
        return StoreStatus(versions, silentForMs, isFailing || !hasEpochs)
    }
}

@Serializable
private class WireVersions(
    val orders: Long,
    val servers: Long,
    val ordersEpoch: Long? = null,
    val serversEpoch: Long? = null,
)

private fun StoreStatus.toWire(confirmation: Confirmation?) = WireStatus(
    WireVersions(content.orders.number, content.servers.number, content.orders.epoch, content.servers.epoch),
    silentForMs,
    isFailing,
    confirmation,
)

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
