/*
 * Joins the watchers of the store with what other instances tell: it knows whether this instance has to follow the
 * store, tells others what is newest here, and asks for what is newer elsewhere.
 */
package org.cardamomwharf.gateway.store

import org.cardamomwharf.gateway.WatchTools
import org.cardamomwharf.gateway.peers.HeartbeatNews
import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.gateway.startDuty
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.WatcherElection
import org.cardamomwharf.steering.store.StoreStatus
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/** Longest pause between looks whether another instance knows more. */
private const val LOOK_MS = 250L

/** Instances asked in one look, so that a silent one doesn't delay the others for long. */
private const val MOST_ASKED = 2

/** Finds and asks other instances. */
internal interface PeerDirectory {
    /** Returns the instances that run, this one included. */
    fun running(): List<InstanceRecord>

    /** Returns any other instance, or null when none is known. */
    fun any(): InstanceRecord?

    /** Returns what [peer] knows beyond [known], or null when it doesn't answer usefully. */
    fun ask(peer: InstanceRecord, known: KnownVersions): PeerState?
}

internal class StoreRelay(
    own: InstanceRecord,
    private val peers: PeerDirectory,
    private val tools: WatchTools,
    private val onBeat: () -> Unit,
) : WatchDuty, HeartbeatNews {
    private val choice = WatcherElection(own)
    private val wake = ArrayBlockingQueue<Unit>(1)
    private lateinit var watch: StateWatch

    /** Starts to ask others for what [watch] doesn't know. */
    fun start(watch: StateWatch) {
        this.watch = watch
        startDuty("relay", tools.log, ::askAhead)
    }

    override fun isReader(): Boolean {
        val running = peers.running()
        return synchronized(choice) { choice.isWatcher(running, tools.clock.nowMs()) }
    }

    override fun onAway() {
        peers.any()?.let(::ask)
    }

    override fun toTell(): StoreStatus? = if (isReader()) watch.news() else null

    override fun take(from: InstanceRecord, news: StoreStatus) {
        synchronized(choice) { choice.receive(from, news, tools.clock.nowMs()) }
        if (news.content.isAheadOf(watch.content)) wake.offer(Unit)
    }

    override fun onBeat() = onBeat.invoke()

    private fun askAhead(): Boolean {
        wake.poll(LOOK_MS, TimeUnit.MILLISECONDS)
        val ahead = synchronized(choice) { choice.instancesAheadOf(watch.content, tools.clock.nowMs()) }
        ahead.take(MOST_ASKED).any { ask(it) }
        return true
    }

    /** Returns true when [peer] told something. */
    private fun ask(peer: InstanceRecord): Boolean {
        val state = peers.ask(peer, watch.known) ?: return false
        watch.takeFromPeer(state)
        return true
    }
}
