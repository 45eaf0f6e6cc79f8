/*
 * One instance of a fleet in virtual time that confirms the keys of teams.
 */
package org.cardamomwharf.gateway.support

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.gateway.store.PeerClient
import org.cardamomwharf.gateway.store.PeerStateSync
import org.cardamomwharf.gateway.store.StoreListener
import org.cardamomwharf.gateway.store.StoreWatcher
import org.cardamomwharf.gateway.store.TableWatcher
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.TeamKey
import org.cardamomwharf.steering.instances.HeartbeatExchange
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.InstanceRegistry
import org.cardamomwharf.steering.instances.WatcherElection
import org.cardamomwharf.steering.store.OperatorOrder
import org.cardamomwharf.steering.store.StoreError
import org.cardamomwharf.steering.store.StoreVersion
import org.cardamomwharf.steering.store.TableUpdate
import org.cardamomwharf.steering.teams.Caller

private const val HEARTBEAT_MS = 500L
private const val RELAY_MS = 250L
private const val SILENCE_TIMEOUT_MS = 4_000L

/** Time after its wait in which a call to the store fails when it gets no answer. */
private const val CALL_MARGIN_MS = 1_500L

internal class KeyFleetMember(private val fleet: KeyFleet, val record: InstanceRecord) : PeerClient, StoreListener {
    /** Time that the clock shows until the store is called: the question was sent before its answer is applied. */
    private var askedAtMs: Long? = null
    private var answeredAtMs = 0L
    private val clock = Clock { askedAtMs ?: fleet.nowMs }
    private val context = TaskContext(clock, DecisionLog(clock))
    private val location = InstanceLocation(record.name, record.zone, keyFleetZones)
    private val steering = SynchronizedSteering(Steering(location, keyFleetParameters), clock)
    private val registry = InstanceRegistry(record, Incarnation(fleet.nowMs), SILENCE_TIMEOUT_MS)
    private val exchange = HeartbeatExchange(location, registry, WatcherElection(record), fleet.random)
    private val sync = PeerStateSync(record, this, context) {}
    private val watcher =
        StoreWatcher(ScriptedStore(::answer), steering, context, keyFleetParameters, sync, this).also(sync::attach)
    private val calls = HashMap<TableWatcher<*>, PendingCall>()
    private val stepsDueAtMs = HashMap<TableWatcher<*>, Long>()
    private var nextHeartbeatAtMs = fleet.nowMs + fleet.random.nextLong(HEARTBEAT_MS)
    private var nextRelayAtMs = fleet.nowMs + fleet.random.nextLong(RELAY_MS)
    private var heartbeats = 0
    private var hasChanged = false

    /** True while this process doesn't run. */
    var isPaused = false

    /** True when the store refuses all calls of this instance. */
    var isRefusedByStore = false

    /** True when calls to the store get no answer. */
    var isStoreSilent = false

    /** True when nothing that this instance sends arrives. */
    var isSendingCut = false

    /** True when nothing arrives at this instance. */
    var isReceivingCut = false

    /** Time for which datagrams of this instance are held back. */
    var sendDelayMs = 0L

    fun identify(route: Route, key: String?): Caller =
        steering.withLock { decisions, nowMs -> decisions.callers.identify(route, key?.let { TeamKey(it) }, nowMs) }

    fun proofAgeMs(): Long? = steering.withLock { decisions, nowMs -> decisions.callers.proof.ageMs(nowMs) }

    fun canReach(to: KeyFleetMember): Boolean = !isSendingCut && !to.isReceivingCut

    /** Lets [check] look at this instance before and after it handles the answers that have arrived. */
    fun answerCalls(check: (KeyFleetMember) -> Unit) {
        check(this)
        watcher.tableWatchers.forEach { table ->
            calls[table]?.takeIf { fleet.nowMs >= arrivalOf(it) }?.let {
                calls.remove(table)
                answeredAtMs = maxOf(it.askedAtMs, arrivalOf(it) - fleet.storeDelayMs)
                askedAtMs = it.askedAtMs
                val delayMs = table.step()
                askedAtMs = null
                stepsDueAtMs[table] = fleet.nowMs + delayMs
            }
        }
        check(this)
    }

    fun step() {
        watcher.tableWatchers.filter { it !in calls && fleet.nowMs >= (stepsDueAtMs[it] ?: 0) && it.isAsking }
            .forEach { calls[it] = PendingCall(fleet.nowMs, it.waitMs) }
        watcher.expire()
        if (hasChanged) sendNotification()
        if (fleet.nowMs >= nextHeartbeatAtMs) sendHeartbeat()
        if (fleet.nowMs >= nextRelayAtMs) {
            nextRelayAtMs = fleet.nowMs + RELAY_MS
            sync.fetchNewerState()
        }
    }

    fun receive(message: HeartbeatMessage) {
        exchange.receive(message, fleet.nowMs)
        message.storeStatus?.let { sync.onStatusReceived(message.sender.record, it) }
        message.confirmation?.let { sent ->
            exchange.askedAtMs(message)?.let { sync.confirmations.receive(sent, it) }
        }
    }

    override fun runningInstances(): List<InstanceRecord> = registry.running(fleet.nowMs)

    override fun randomPeer(): InstanceRecord? = others().randomOrNull(fleet.random)

    override fun fetchState(peer: InstanceRecord, known: KnownVersions): PeerState? {
        fleet.peerCalls++
        val to = fleet.members.first { it.record == peer }
        return to.takeIf { !it.isPaused && canReach(it) && it.canReach(this) }?.watcher?.stateSince(known)
    }

    override fun onCallerLimits(limits: CallerLimits) = Unit

    override fun onChange() {
        hasChanged = true
    }

    private fun others() = fleet.members.map { it.record } - record

    private fun sendNotification() {
        hasChanged = false
        val status = sync.statusToSend() ?: return
        exchange.changeNotification(others(), status, fleet.nowMs).let { fleet.send(this, it.recipients, it.message) }
    }

    private fun sendHeartbeat() {
        nextHeartbeatAtMs = fleet.nowMs + HEARTBEAT_MS
        exchange.nextHeartbeats(heartbeats++, others(), sync.statusToSend(), fleet.nowMs).forEach {
            val confirmation = if (it.message.storeStatus == null) null else sync.confirmations.toSend()
            fleet.send(this, it.recipients, it.message.copy(confirmation = confirmation))
        }
    }

    private fun answer(after: StoreVersion?): Result<TableUpdate<OperatorOrder>, StoreError> {
        askedAtMs = null
        fleet.storeCalls++
        return when {
            isRefusedByStore -> Err(StoreError.REFUSED)
            isStoreSilent -> Err(StoreError.TIMEOUT)
            else -> fleet.history.read(after, answeredAtMs)
        }
    }

    /** Returns when the result of [call] arrives. */
    private fun arrivalOf(call: PendingCall): Long {
        val endsAtMs = call.askedAtMs + call.waitMs
        return when {
            isRefusedByStore -> call.askedAtMs + fleet.storeDelayMs
            isStoreSilent -> endsAtMs + CALL_MARGIN_MS
            else -> minOf(endsAtMs, fleet.history.nextChangeAfter(call.askedAtMs) ?: endsAtMs) + fleet.storeDelayMs
        }
    }

    private class PendingCall(val askedAtMs: Long, val waitMs: Long)
}
