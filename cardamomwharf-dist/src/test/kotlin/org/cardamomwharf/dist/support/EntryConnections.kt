/*
 * Connects an entry instance with its peers and the platform, either directly or through relays that inject faults.
 */
package org.cardamomwharf.dist.support

import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.standin.network.RelayFault
import org.cardamomwharf.standin.network.TcpRelay
import org.cardamomwharf.standin.network.startTcpRelay

class EntryConnections(
    val advertisedPeer: String,
    val platform: String,
    peerRelay: TcpRelay? = null,
    val platformRelay: TcpRelay? = null,
) : AutoCloseable {
    private val relays = listOfNotNull(peerRelay, platformRelay)

    /** Injects [fault] into the connections from peers and to the platform. */
    fun changeFault(fault: RelayFault) {
        relays.forEach { it.changeFault(fault) }
    }

    /** Silences all currently open connections permanently. */
    fun stallConnections() {
        relays.forEach { it.stallConnections() }
    }

    override fun close() {
        relays.forEach { it.close() }
    }
}

fun createDirectConnections(host: String, platform: String): EntryConnections = EntryConnections("$host:8100", platform)

fun createRelayedConnections(host: String, platform: String): EntryConnections {
    val peerRelay = startRelay("$host:8110", "$host:8100")
    val platformRelay = startRelay("$host:7010", platform)
    return EntryConnections("$host:8110", "$host:7010", peerRelay, platformRelay)
}

fun startRelay(listen: String, target: String): TcpRelay =
    startTcpRelay(requireNotNull(SocketAddress.parse(listen)), requireNotNull(SocketAddress.parse(target)))
