/*
 * Synchronizes the store state with other instances: determines whether this instance has to watch the store, provides
 * the status that heartbeats report, and fetches newer state from other instances.
 */
package org.cardamomwharf.gateway.store

import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.peers.ConfirmationExchange
import org.cardamomwharf.gateway.peers.HeartbeatListener
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.WatcherElection
import org.cardamomwharf.steering.store.StoreStatus
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/** Maximum interval between checks whether another instance has newer state. */
private const val CHECK_INTERVAL_MS = 250L

/** Instances queried per check; few, so that unresponsive ones don't delay the next check for long. */
private const val MAX_PEERS_PER_CHECK = 2

internal class PeerStateSync(
    own: InstanceRecord,
    private val peers: PeerClient,
    private val context: TaskContext,
    private val onHeartbeat: () -> Unit,
) : WatcherRole, HeartbeatListener {
    private val election = WatcherElection(own)
    private val checkSignal = ArrayBlockingQueue<Unit>(1)
    private lateinit var storeWatcher: StoreWatcher

    /** Sets the watcher whose state this instance reports and completes; must be called first. */
    fun attach(storeWatcher: StoreWatcher) {
        this.storeWatcher = storeWatcher
    }

    /** Starts to fetch newer state from other instances. */
    fun start() {
        startBackgroundTask("relay", context.log) {
            checkSignal.poll(CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS)
            fetchNewerState()
            true
        }
    }

    override fun isWatcher(): Boolean {
        val running = peers.runningInstances()
        return synchronized(election) { election.isWatcher(running, context.clock.nowMs()) }
    }

    override fun onStoreUnavailable() {
        peers.randomPeer()?.let(::fetchFrom)
    }

    override fun statusToSend(): StoreStatus? = if (isWatcher()) storeWatcher.status() else null

    override fun onStatusReceived(from: InstanceRecord, status: StoreStatus) {
        synchronized(election) { election.receive(from, status, context.clock.nowMs()) }
        if (status.content.isAheadOf(storeWatcher.contentVersions)) checkSignal.offer(Unit)
    }

    override val confirmations: ConfirmationExchange get() = storeWatcher.confirmation

    override fun onHeartbeat() = onHeartbeat.invoke()

    /** Fetches state from instances that have reported newer content, or from any one if a confirmation is due. */
    fun fetchNewerState() {
        val peersAhead = synchronized(election) {
            election.instancesAheadOf(storeWatcher.contentVersions, context.clock.nowMs())
        }
        peersAhead.take(MAX_PEERS_PER_CHECK).any { fetchFrom(it) }
        if (storeWatcher.confirmation.isDue) peers.randomPeer()?.let(::fetchFrom)
    }

    /** Applies newer state from [peer]; returns true when it responded. */
    private fun fetchFrom(peer: InstanceRecord): Boolean {
        val askedAtMs = context.clock.nowMs()
        val state = peers.fetchState(peer, storeWatcher.knownVersions) ?: return false
        storeWatcher.applyFromPeer(state, askedAtMs)
        return true
    }
}
