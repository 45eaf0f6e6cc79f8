/*
 * Joins the watchers of the store with what other instances tell: it knows whether this instance has to follow the
 * store, tells others what is newest here, and asks for what is newer elsewhere.
 */
package org.cardamomwharf.gateway.store

import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.peers.HeartbeatListener
import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.WatcherElection
import org.cardamomwharf.steering.store.StoreStatus
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/** Longest pause between looks whether another instance knows more. */
private const val LOOK_MS = 250L

/** Instances asked in one look, so that a silent one doesn't delay the others for long. */
private const val MAX_PEERS_PER_CHECK = 2

/** Finds and asks other instances. */
internal interface PeerClient {
    /** Returns the instances that run, this one included. */
    fun running(): List<InstanceRecord>

    /** Returns any other instance, or null when none is known. */
    fun any(): InstanceRecord?

    /** Returns what [peer] knows beyond [known], or null when it doesn't answer usefully. */
    fun ask(peer: InstanceRecord, known: KnownVersions): PeerState?
}

internal class PeerStateSync(
    own: InstanceRecord,
    private val peers: PeerClient,
    private val tools: TaskContext,
    private val onHeartbeat: () -> Unit,
) : WatcherRole, HeartbeatListener {
    private val choice = WatcherElection(own)
    private val wake = ArrayBlockingQueue<Unit>(1)
    private lateinit var watch: StoreWatcher

    /** Starts to ask others for what [watch] doesn't know. */
    fun start(watch: StoreWatcher) {
        this.watch = watch
        startBackgroundTask("relay", tools.log, ::fetchNewerState)
    }

    override fun isWatcher(): Boolean {
        val running = peers.running()
        return synchronized(choice) { choice.isWatcher(running, tools.clock.nowMs()) }
    }

    override fun onStoreUnavailable() {
        peers.any()?.let(::ask)
    }

    override fun statusToSend(): StoreStatus? = if (isWatcher()) watch.news() else null

    override fun take(from: InstanceRecord, news: StoreStatus) {
        synchronized(choice) { choice.receive(from, news, tools.clock.nowMs()) }
        if (news.content.isAheadOf(watch.content)) wake.offer(Unit)
    }

    override fun onHeartbeat() = onHeartbeat.invoke()

    private fun fetchNewerState(): Boolean {
        wake.poll(LOOK_MS, TimeUnit.MILLISECONDS)
        val ahead = synchronized(choice) { choice.instancesAheadOf(watch.content, tools.clock.nowMs()) }
        ahead.take(MAX_PEERS_PER_CHECK).any { ask(it) }
        return true
    }

    /** Returns true when [peer] told something. */
    private fun ask(peer: InstanceRecord): Boolean {
        val state = peers.ask(peer, watch.known) ?: return false
        watch.applyFromPeer(state)
        return true
    }
}
