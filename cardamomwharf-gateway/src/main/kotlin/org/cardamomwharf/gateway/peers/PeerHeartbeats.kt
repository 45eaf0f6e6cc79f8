/*
 * Sends and receives heartbeats as datagrams, on a thread for each. Blocking datagram sockets take a third of the
 * processor time that Ktor's take here: an instance sends few datagrams, and each costs Ktor several hand-overs between
 * threads and a selector that wakes twice a second.
 */
package org.cardamomwharf.gateway.peers

import kotlinx.serialization.json.put
import org.cardamomwharf.core.Clock
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.steering.Place
import org.cardamomwharf.steering.belief.StoreNews
import org.cardamomwharf.steering.instances.HeartbeatExchange
import org.cardamomwharf.steering.instances.HeartbeatSend
import org.cardamomwharf.steering.instances.InstanceBook
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.ReaderChoice
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardProtocolFamily
import java.nio.ByteBuffer
import java.nio.channels.DatagramChannel
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Time between heartbeats; several fit into the silence after which an instance counts as gone. */
private const val BEAT_MS = 500L

/** One question in this many goes to another region although the own one has instances. */
private const val NEAR_OF = 3

/** Size of the largest datagram. */
private const val LARGEST_DATAGRAM_BYTES = 65_507

/** Connects heartbeats with what this process knows of the store. */
internal interface HeartbeatNews {
    /** Returns what to tell about the store, or null when another instance follows it for this one. */
    fun toTell(): StoreNews?

    /** Takes what the instance [from] tells about the store. */
    fun take(from: InstanceRecord, news: StoreNews)

    /** Is called with each own heartbeat. */
    fun onBeat()
}

/** Represents the heartbeats of this process. */
internal class PeerHeartbeats(
    private val own: InstanceRecord,
    private val place: Place,
    private val book: InstanceBook,
    private val roster: PeerRoster,
    private val clock: Clock,
    private val log: DecisionLog,
    private val news: HeartbeatNews,
) {
    private val exchange = HeartbeatExchange(place, book, ReaderChoice(own))
    private val changes = ArrayBlockingQueue<Unit>(1)
    private val channel = DatagramChannel.open(StandardProtocolFamily.INET)

    @Volatile
    private var isFailing = false

    private var isReadingGarbage = false

    fun start() {
        channel.bind(InetSocketAddress(own.peerAddress.host, own.peerAddress.port))
        launch("peers", ::sendBeats)
        launch("peers-receive", ::receive)
    }

    /** Tells the zone and other zones soon that something changed in the store. */
    fun tellChange() {
        changes.offer(Unit)
    }

    /** Tells all instances that this one is stopping. */
    fun announceLeaving() {
        send(synchronized(book) { exchange.leave(roster.others()) })
    }

    /** Returns an instance to ask for something, one of the own region where there is one, or null. */
    fun anyPeer(): InstanceRecord? {
        val (near, far) = roster.others().partition { place.regions[it.zone] == place.region }
        return near.randomOrNull()?.takeIf { Random.nextInt(NEAR_OF) > 0 } ?: far.randomOrNull() ?: near.randomOrNull()
    }

    private fun launch(name: String, run: () -> Unit) {
        Thread(run, name).apply { isDaemon = true }.start()
    }

    private fun sendBeats() {
        var number = 0
        var nextAtMs = clock.nowMs()
        while (true) {
            val waitMs = nextAtMs - clock.nowMs()
            if (waitMs > 0 && changes.poll(waitMs, TimeUnit.MILLISECONDS) != null) {
                news.toTell()?.let { tell(it) }
            } else {
                nextAtMs = clock.nowMs() + BEAT_MS
                beat(number++)
            }
        }
    }

    private fun beat(number: Int) {
        news.onBeat()
        val told = news.toTell()
        val others = roster.others()
        synchronized(book) { exchange.beat(number, others, told, clock.nowMs()) }.forEach { send(it) }
    }

    private fun tell(told: StoreNews) {
        val others = roster.others()
        send(synchronized(book) { exchange.change(others, told, clock.nowMs()) })
    }

    private fun send(sent: HeartbeatSend) {
        val bytes = ByteBuffer.wrap(encodeHeartbeats(sent.message))
        sent.to.forEach { send(it, bytes.duplicate()) }
    }

    /** Sends one datagram; a failure costs no more than a lost datagram and is logged when it begins. */
    private fun send(peer: InstanceRecord, bytes: ByteBuffer) = try {
        channel.send(bytes, InetSocketAddress(peer.peerAddress.host, peer.peerAddress.port))
        isFailing = false
    } catch (e: IOException) {
        if (!isFailing) log.event("heartbeat-failed") { put("error", e.toString()) }
        isFailing = true
    }

    private fun receive() {
        val buffer = ByteBuffer.allocate(LARGEST_DATAGRAM_BYTES)
        while (true) {
            buffer.clear()
            if (receiveInto(buffer)) take(buffer.array().copyOf(buffer.position()))
        }
    }

    private fun receiveInto(buffer: ByteBuffer): Boolean = try {
        channel.receive(buffer) != null
    } catch (e: IOException) {
        log.event("heartbeat-failed") { put("error", e.toString()) }
        Thread.sleep(BEAT_MS)
        false
    }

    /** Logs the first of several datagrams in a row that aren't messages. */
    private fun noteUnreadable(size: Int) {
        if (!isReadingGarbage) log.event("heartbeat-unreadable") { put("bytes", size) }
        isReadingGarbage = true
    }

    private fun take(bytes: ByteArray) {
        val message = decodeHeartbeats(bytes) ?: return noteUnreadable(bytes.size)
        isReadingGarbage = false
        synchronized(book) { exchange.receive(message, clock.nowMs()) }
        message.news?.let { news.take(message.sender.record, it) }
    }
}
