/*
 * Instances give each other what they know of the store: one that follows it gives the others of its zone what changed,
 * and any gives what it knows to one that can't reach the store. Everything carries the version of the store, so
 * nothing older wins.
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
import org.cardamomwharf.steering.store.TableUpdate
import org.eclipse.jetty.server.Request
import java.nio.ByteBuffer

/** Time for a call to another instance; several times the longest way there and back. */
private const val CALL_TIMEOUT_MS = 400L
private const val ORDERS = "orders"
private const val SERVERS = "servers"

/**
 * Represents what an instance knows of the store; tables that the asking one knows as well are left out.
 *
 * @param remainingGraceMs rest of the time for which backend servers that lapsed during an outage are kept.
 */
@Serializable
internal data class PeerState(
    val orders: TableUpdate<OperatorOrder>? = null,
    val servers: TableUpdate<ServerRecord>? = null,
    @SerialName("graceLeftMs")
    val remainingGraceMs: Long = 0,
)

/** Represents the versions that an instance knows already. */
internal data class KnownVersions(val orders: Long, val servers: Long)

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** Returns the handler that gives other instances what [snapshot] says beyond the versions that they know. */
@OptIn(ExperimentalSerializationApi::class)
internal fun createPeerStateHandler(snapshot: (KnownVersions) -> PeerState): AsyncHandler =
    AsyncHandler { request, response, callback ->
        val query = Request.extractQueryParameters(request)
        val known = KnownVersions(
            query.getValue(ORDERS)?.toLongOrNull() ?: -1,
            query.getValue(SERVERS)?.toLongOrNull() ?: -1,
        )
        response.status = StatusCode.OK
        response.write(true, ByteBuffer.wrap(frame(cbor.encodeToByteArray(snapshot(known)))), callback)
    }

/** Asks the instance at [peer] for what it knows beyond [known]; returns null when it doesn't answer usefully. */
@OptIn(ExperimentalSerializationApi::class)
internal fun fetchPeerState(caller: HttpClient, peer: SocketAddress, known: KnownVersions): PeerState? {
    val url = "http://$peer/state?$ORDERS=${known.orders}&$SERVERS=${known.servers}"
    val end = caller.call(HttpCall("GET", url, timeoutMs = CALL_TIMEOUT_MS))
    val answer = (end as? HttpResult.Completed)?.response?.takeIf { it.status == StatusCode.OK } ?: return null
    return unframe(answer.body)?.let { cbor.decodeFromByteArray<PeerState>(it) }
}
