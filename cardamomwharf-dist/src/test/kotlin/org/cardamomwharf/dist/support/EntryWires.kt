/*
 * How an entry instance is reached by its peers and reaches the platform: straight, or through relays that can be cut.
 */
package org.cardamomwharf.dist.support

import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.standin.network.ConnectionFault
import org.cardamomwharf.standin.network.TcpRelay
import org.cardamomwharf.standin.network.startTcpRelay

class EntryWires(
    val advertisedPeer: String,
    val platform: String,
    peerRelay: TcpRelay? = null,
    val platformRelay: TcpRelay? = null,
) : AutoCloseable {
    private val relays = listOfNotNull(peerRelay, platformRelay)

    /** Changes what happens on the way to the instance's peers and to the platform. */
    fun changeFault(fault: ConnectionFault) {
        relays.forEach { it.changeFault(fault) }
    }

    /** Makes all connections that are open now silent for good. */
    fun stallConnections() {
        relays.forEach { it.stallConnections() }
    }

    override fun close() {
        relays.forEach { it.close() }
    }
}

fun straightWires(host: String, platform: String): EntryWires = EntryWires("$host:8100", platform)

fun relayedWires(host: String, platform: String): EntryWires {
    val peer = relay("$host:8110", "$host:8100")
    val toPlatform = relay("$host:7010", platform)
    return EntryWires("$host:8110", "$host:7010", peer, toPlatform)
}

fun relay(listen: String, far: String): TcpRelay =
    startTcpRelay(requireNotNull(SocketAddress.parse(listen)), requireNotNull(SocketAddress.parse(far)))
