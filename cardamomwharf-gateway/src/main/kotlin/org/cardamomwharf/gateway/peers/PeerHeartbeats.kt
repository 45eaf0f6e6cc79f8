/*
 * Sends heartbeats between instances as datagrams. Each goes to a few instances with what is known of others, more
 * often inside the region than across.
 */
package org.cardamomwharf.gateway.peers

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.utils.io.core.buildPacket
import io.ktor.utils.io.core.writeFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.readByteArray
import org.cardamomwharf.core.Clock
import org.cardamomwharf.steering.Place
import org.cardamomwharf.steering.instances.InstanceBook
import org.cardamomwharf.steering.instances.InstanceRecord
import java.util.concurrent.Executors
import kotlin.random.Random

/** Time between heartbeats; several fit into the silence after which an instance counts as gone. */
private const val BEAT_MS = 500L

/** Every which beat goes to another region too; their bytes cost more. */
private const val FAR_EVERY = 2

/** Instances told about in one datagram, so that it stays small in large deployments. */
private const val LARGEST_TOLD = 24

/** One question in this many goes to another region although the own one has instances. */
private const val NEAR_OF = 3

/** Represents the heartbeats of this process. */
internal class PeerHeartbeats(
    private val own: InstanceRecord,
    private val place: Place,
    private val book: InstanceBook,
    private val clock: Clock,
    private val onBeat: () -> Unit,
) {
    private val dispatcher = Executors.newSingleThreadExecutor { Thread(it, "peers").apply { isDaemon = true } }
        .asCoroutineDispatcher()

    @Volatile
    private var contacts: List<InstanceRecord> = emptyList()

    @Volatile
    private var socket: BoundDatagramSocket? = null

    fun start() {
        CoroutineScope(dispatcher).launch {
            val address = InetSocketAddress(own.peerAddress.host, own.peerAddress.port)
            val bound = aSocket(SelectorManager(dispatcher)).udp().bind(address)
            socket = bound
            launch { receive(bound) }
            var number = 0
            while (true) {
                beat(bound, number++)
                delay(BEAT_MS)
            }
        }
    }

    /** Adds instances that the store lists. */
    fun introduce(records: Collection<InstanceRecord>) {
        contacts = records.filter { it.name != own.name }
    }

    /** Tells all instances that this one is stopping. */
    fun announceLeaving() {
        val bound = socket ?: return
        synchronized(book) {
            book.leave()
            book.beat()
        }
        runBlocking(Dispatchers.Unconfined) { peers().forEach { send(bound, it) } }
    }

    /** Returns an instance to ask for something, one of the own region where there is one, or null. */
    fun anyPeer(): InstanceRecord? {
        val (near, far) = peers().partition { place.regions[it.zone] == place.region }
        return near.randomOrNull()?.takeIf { Random.nextInt(NEAR_OF) > 0 } ?: far.randomOrNull() ?: near.randomOrNull()
    }

    private suspend fun beat(bound: BoundDatagramSocket, number: Int) {
        synchronized(book) { book.beat() }
        onBeat()
        val (near, far) = peers().partition { place.regions[it.zone] == place.region }
        near.randomOrNull()?.let { send(bound, it) }
        if (number % FAR_EVERY == 0) far.randomOrNull()?.let { send(bound, it) }
    }

    private fun peers(): List<InstanceRecord> {
        val running = synchronized(book) { book.running(clock.nowMs()) }
        return (contacts + running).associateBy { it.name }.values.filter { it.name != own.name }
    }

    private suspend fun send(bound: BoundDatagramSocket, peer: InstanceRecord) {
        val known = synchronized(book) { book.heartbeats(clock.nowMs()) }
        val (mine, others) = known.partition { it.record.name == own.name }
        val told = mine + others.shuffled().take(LARGEST_TOLD)
        val bytes = encodeHeartbeats(told)
        val target = InetSocketAddress(peer.peerAddress.host, peer.peerAddress.port)
        bound.send(Datagram(buildPacket { writeFully(bytes) }, target))
    }

    private suspend fun receive(bound: BoundDatagramSocket) {
        while (true) {
            val bytes = bound.receive().packet.readByteArray()
            val heard = decodeHeartbeats(bytes)
            synchronized(book) { heard.forEach { book.hear(it, clock.nowMs()) } }
        }
    }
}
