/*
 * Sends and receives heartbeats, each on a thread of its own.
 */
package org.cardamomwharf.gateway.peers

import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.instances.HeartbeatExchange
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.OutgoingHeartbeat
import org.cardamomwharf.steering.instances.WatcherElection
import org.cardamomwharf.steering.store.StoreStatus
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random

/** Interval of heartbeats; several fit into the silence after which an instance counts as failed. */
private const val HEARTBEAT_INTERVAL_MS = 500L

/** One in this many picks is an instance of another region although the own region has instances. */
private const val OTHER_REGION_ONE_IN = 3

/** Exchanges heartbeats with other instances. */
internal class PeerHeartbeats(
    private val location: InstanceLocation,
    private val peers: PeerList,
    private val context: TaskContext,
    private val listener: HeartbeatListener,
    private val crashes: CrashExchange,
    private val teamLimits: TeamLimitExchange,
) {
    private val clock = context.clock
    private val registry = peers.registry
    private val exchange = HeartbeatExchange(location, registry, WatcherElection(peers.own))
    private val signal = ArrayBlockingQueue<Unit>(1)
    private val isStoreChanged = AtomicBoolean()
    private val socket = HeartbeatSocket(peers.own.peerAddress, context.log)
    private var heartbeatNumber = 0
    private var nextAtMs = 0L

    fun start() {
        socket.open()
        nextAtMs = clock.nowMs()
        startBackgroundTask("peers", context.log, ::sendNext)
        startBackgroundTask("peers-receive", context.log, ::receive)
    }

    /** Requests an early notification of a store change to the own zone and other zones. */
    fun notifyChange() {
        isStoreChanged.set(true)
        signal.offer(Unit)
    }

    /** Requests that messages about crashed backend servers are sent soon. */
    fun notifyCrashes() {
        signal.offer(Unit)
    }

    /** Notifies all instances that this one is stopping. */
    fun announceLeaving() {
        socket.send(synchronized(registry) { exchange.leave(peers.others()) })
    }

    /** Returns a random other instance, preferably of the own region, or null when none is known. */
    fun randomPeer(): InstanceRecord? {
        val (sameRegion, otherRegions) = peers.others().partition { location.regions[it.zone] == location.region }
        return sameRegion.randomOrNull()?.takeIf { Random.nextInt(OTHER_REGION_ONE_IN) > 0 }
            ?: otherRegions.randomOrNull()
            ?: sameRegion.randomOrNull()
    }

    /** Waits until the next heartbeat is due or a change occurs, and sends the heartbeat or a change notification. */
    private fun sendNext(): Boolean {
        val waitMs = nextAtMs - clock.nowMs()
        if (waitMs > 0 && signal.poll(waitMs, TimeUnit.MILLISECONDS) != null) {
            if (isStoreChanged.getAndSet(false)) listener.statusToSend()?.let { sendNotification(it) }
        } else {
            nextAtMs = clock.nowMs() + HEARTBEAT_INTERVAL_MS
            sendHeartbeat(heartbeatNumber++)
        }
        sendUrgent()
        return true
    }

    private fun sendUrgent() {
        teamLimits.takePrompt {
            val others = peers.others()
            listener.statusToSend()
                ?.let { synchronized(registry) { exchange.changeNotification(others, it, clock.nowMs()) } }
        }.forEach(socket::send)
        crashes.takeOutgoing().forEach { outgoing ->
            val names = outgoing.recipients
            val recipients = peers.others().filter { names == null || it.name in names }
            val own = synchronized(registry) { registry.own }
            socket.send(OutgoingHeartbeat(recipients, HeartbeatMessage(own, crashes = outgoing.message)))
        }
    }

    private fun sendHeartbeat(number: Int) {
        listener.onHeartbeat()
        val status = listener.statusToSend()
        val others = peers.others()
        val blocks = crashes.regularMessage()
        val heartbeats = synchronized(registry) { exchange.nextHeartbeats(number, others, status, clock.nowMs()) }
        teamLimits.addTo(heartbeats, isWatcher = status != null).forEach {
            val confirmation = if (it.message.storeStatus == null) null else listener.confirmations.toSend()
            socket.send(it.copy(message = it.message.copy(crashes = blocks, confirmation = confirmation)))
        }
    }

    private fun sendNotification(status: StoreStatus) {
        val others = peers.others()
        socket.send(synchronized(registry) { exchange.changeNotification(others, status, clock.nowMs()) })
    }

    private fun receive(): Boolean {
        val message = socket.receive() ?: return true
        val askedAtMs = synchronized(registry) {
            exchange.receive(message, clock.nowMs())
            if (message.confirmation == null) null else exchange.askedAtMs(message)
        }
        message.storeStatus?.let { listener.onStatusReceived(message.sender.record, it) }
        message.confirmation?.let { if (askedAtMs != null) listener.confirmations.receive(it, askedAtMs) }
        message.crashes?.let {
            crashes.receive(it)
            notifyCrashes()
        }
        if (teamLimits.receive(message)) signal.offer(Unit)
        return true
    }
}
