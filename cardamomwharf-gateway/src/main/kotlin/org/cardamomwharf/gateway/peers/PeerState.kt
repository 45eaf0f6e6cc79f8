/*
 * Exchanges the store state between instances: an instance that watches the store sends changes to the others of its
 * zone, and any instance sends its state to one that can't reach the store. All data carries the version of the store,
 * so older data never replaces newer data.
 */
package org.cardamomwharf.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.listener.AsyncHandler
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.store.OperatorOrder
import org.cardamomwharf.steering.store.StoreVersion
import org.cardamomwharf.steering.store.TableUpdate
import org.cardamomwharf.steering.teams.Confirmation
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.Fields
import java.nio.ByteBuffer

/** Timeout of a call to another instance; several times the longest round-trip time. */
private const val CALL_TIMEOUT_MS = 400L
private const val ORDERS = "orders"
private const val SERVERS = "servers"

/** Follows the name of a table in the parameter with the epoch of its version. */
private const val EPOCH_SUFFIX = "Epoch"

/**
 * Represents the store state of an instance; tables without changes for the requesting instance are omitted.
 *
 * @param remainingGraceMs remaining time for which backend servers that expired during an outage are kept.
 * @param confirmation age of the configuration, or null when it isn't confirmed.
 */
@Serializable
internal data class PeerState(
    val orders: TableUpdate<OperatorOrder>? = null,
    val servers: TableUpdate<ServerRecord>? = null,
    @SerialName("graceLeftMs")
    val remainingGraceMs: Long = 0,
    val confirmation: Confirmation? = null,
)

/** Represents the table versions that an instance already has. */
internal data class KnownVersions(val orders: StoreVersion, val servers: StoreVersion)

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** Returns the handler that sends other instances the [snapshot] of changes since the versions that they have. */
@OptIn(ExperimentalSerializationApi::class)
internal fun createPeerStateHandler(snapshot: (KnownVersions) -> PeerState): AsyncHandler =
    AsyncHandler { request, response, callback ->
        val query = Request.extractQueryParameters(request)
        val known = KnownVersions(readVersion(query, ORDERS), readVersion(query, SERVERS))
        response.status = StatusCode.OK
        response.write(true, ByteBuffer.wrap(frame(cbor.encodeToByteArray(snapshot(known)))), callback)
    }

/** Fetches changes since [known] from the instance at [peer]; returns null without a valid response. */
@OptIn(ExperimentalSerializationApi::class)
internal fun fetchPeerState(client: HttpClient, peer: SocketAddress, known: KnownVersions): PeerState? {
    val url = "http://$peer/state?$ORDERS=${known.orders.number}&$SERVERS=${known.servers.number}" +
        "&$ORDERS$EPOCH_SUFFIX=${known.orders.epoch}&$SERVERS$EPOCH_SUFFIX=${known.servers.epoch}"
    val result = client.call(HttpCall("GET", url, timeoutMs = CALL_TIMEOUT_MS))
    val response = (result as? HttpResult.Completed)?.response?.takeIf { it.status == StatusCode.OK } ?: return null
    return unframe(response.body)?.let { cbor.decodeFromByteArray<PeerState>(it) }
}

/** Returns the version of [table] in the parameters; without a number or an epoch the whole table is sent. */
private fun readVersion(query: Fields, table: String): StoreVersion = StoreVersion(
    query.getValue(table + EPOCH_SUFFIX)?.toLongOrNull() ?: -1,
    query.getValue(table)?.toLongOrNull() ?: -1,
)
