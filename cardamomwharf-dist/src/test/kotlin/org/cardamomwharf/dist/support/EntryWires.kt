/*
 * How an entry instance is reached by its peers and reaches the platform: straight, or through relays that can be cut.
 */
package org.cardamomwharf.dist.support

import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.standin.network.WireFault
import org.cardamomwharf.standin.network.WireRelay
import org.cardamomwharf.standin.network.startWireRelay

class EntryWires(
    val advertisedPeer: String,
    val platform: String,
    peerRelay: WireRelay? = null,
    val platformRelay: WireRelay? = null,
) : AutoCloseable {
    private val relays = listOfNotNull(peerRelay, platformRelay)

    /** Changes what happens on the way to the instance's peers and to the platform. */
    fun change(fault: WireFault) {
        relays.forEach { it.change(fault) }
    }

    /** Makes all connections that are open now silent for good. */
    fun silence() {
        relays.forEach { it.silence() }
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

fun relay(listen: String, far: String): WireRelay =
    startWireRelay(requireNotNull(SocketAddress.parse(listen)), requireNotNull(SocketAddress.parse(far)))
