/*
 * Sends and receives heartbeats, on a thread for each.
 */
package org.cardamomwharf.gateway.peers

import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.instances.HeartbeatExchange
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.InstanceRegistry
import org.cardamomwharf.steering.instances.WatcherElection
import org.cardamomwharf.steering.store.StoreStatus
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Time between heartbeats; several fit into the silence after which an instance counts as gone. */
private const val HEARTBEAT_INTERVAL_MS = 500L

/** One question in this many goes to another region although the own one has instances. */
private const val OTHER_REGION_ONE_IN = 3

/** Connects heartbeats with what this process knows of the store. */
internal interface HeartbeatListener {
    /** Returns what to tell about the store, or null when another instance follows it for this one. */
    fun statusToSend(): StoreStatus?

    /** Takes what the instance [from] tells about the store. */
    fun take(from: InstanceRecord, news: StoreStatus)

    /** Is called with each own heartbeat. */
    fun onHeartbeat()
}

/** Represents the heartbeats of this process. */
internal class PeerHeartbeats(
    private val own: InstanceRecord,
    private val place: InstanceLocation,
    private val registry: InstanceRegistry,
    private val peers: PeerList,
    private val tools: TaskContext,
    private val news: HeartbeatListener,
) {
    private val clock = tools.clock
    private val exchange = HeartbeatExchange(place, registry, WatcherElection(own))
    private val changes = ArrayBlockingQueue<Unit>(1)
    private val datagrams = HeartbeatSocket(own.peerAddress, tools.log)
    private var number = 0
    private var nextAtMs = 0L

    fun start() {
        datagrams.open()
        nextAtMs = clock.nowMs()
        startBackgroundTask("peers", tools.log, ::sendNext)
        startBackgroundTask("peers-receive", tools.log, ::receive)
    }

    /** Tells the zone and other zones soon that something changed in the store. */
    fun notifyChange() {
        changes.offer(Unit)
    }

    /** Tells all instances that this one is stopping. */
    fun announceLeaving() {
        datagrams.send(synchronized(registry) { exchange.leave(peers.others()) })
    }

    /** Returns an instance to ask for something, one of the own region where there is one, or null. */
    fun randomPeer(): InstanceRecord? {
        val (near, far) = peers.others().partition { place.regions[it.zone] == place.region }
        return near.randomOrNull()?.takeIf { Random.nextInt(OTHER_REGION_ONE_IN) > 0 } ?: far.randomOrNull() ?: near.randomOrNull()
    }

    /** Waits for the next beat or a change before it, and sends it. */
    private fun sendNext(): Boolean {
        val waitMs = nextAtMs - clock.nowMs()
        if (waitMs > 0 && changes.poll(waitMs, TimeUnit.MILLISECONDS) != null) {
            news.statusToSend()?.let { tell(it) }
        } else {
            nextAtMs = clock.nowMs() + HEARTBEAT_INTERVAL_MS
            beat(number++)
        }
        return true
    }

    private fun beat(number: Int) {
        news.onHeartbeat()
        val told = news.statusToSend()
        val others = peers.others()
        synchronized(registry) { exchange.nextHeartbeats(number, others, told, clock.nowMs()) }
            .forEach { datagrams.send(it) }
    }

    private fun tell(told: StoreStatus) {
        val others = peers.others()
        datagrams.send(synchronized(registry) { exchange.changeNotification(others, told, clock.nowMs()) })
    }

    private fun receive(): Boolean {
        val message = datagrams.receive() ?: return true
        synchronized(registry) { exchange.receive(message, clock.nowMs()) }
        message.storeStatus?.let { news.take(message.sender.record, it) }
        return true
    }
}
