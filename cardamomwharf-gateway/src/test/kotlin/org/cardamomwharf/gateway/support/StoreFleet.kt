/*
 * Instances that follow the stand-in of the store and tell each other what they know, in virtual time. Heartbeats and
 * state travel without a network; an instance can be cut off from the store, or from everything.
 */
package org.cardamomwharf.gateway.support

import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
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
import org.cardamomwharf.platform.createPlatformStore
import org.cardamomwharf.platform.standin.StoreFaults
import org.cardamomwharf.platform.standin.StoreStandin
import org.cardamomwharf.platform.standin.remove
import org.cardamomwharf.platform.standin.setEvacuated
import org.cardamomwharf.platform.standin.write
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.ServiceTerms
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.WatcherElection
import org.cardamomwharf.steering.limits.RetryBudgetParameters
import org.cardamomwharf.steering.servers.ServerRecord
import kotlin.random.Random

private const val STEP_MS = 50L
private const val HEARTBEAT_MS = 500L
private const val RELAY_MS = 250L

/** Shortest time between two steps of a watcher: a change ends a long poll at once. */
private const val POLL_MS = 50L
private val zones = listOf("a1", "a2", "b1", "b2", "c1", "c2").associate { ZoneName(it) to RegionName(it.take(1)) }
private val parameters = SteeringParameters(RetryBudgetParameters(ratio = 0.2, allowance = 60, windowMs = 10_000))
private val service = ServiceName("reads")

/** Returns the configuration [version], which has one route for each version up to it. */
internal fun createDesiredState(version: Long): DesiredState {
    val backends = listOf(WeightedService(service, 1.0))
    return DesiredState(
        DocumentVersion(version),
        (1..version).map { Route("r$it", "h", "/r$it/", true, backends, 1_000, 500, 1, 2, true, emptySet()) },
        mapOf(service to ServiceTerms(service, "/health", 10, 0, 1.0)),
        CallerLimits(16_384, 65_536, 3_000, 15_000),
    )
}

/** Returns the record of a server; [startedAtUnixMs] tells its starts apart. */
internal fun createServerRecord(name: String, zone: String = "a1", startedAtUnixMs: Long = 1) =
    ServerRecord(ServerName(name), service, SocketAddress("10.0.0.1", 80), ZoneName(zone), 4, false, startedAtUnixMs, 0)

/** Runs [count] instances in six zones. */
internal class StoreFleet(count: Int, seed: Int) {
    private val random = Random(seed)
    private val storeAddress = SocketAddress("10.0.0.1", 7_000)
    private val context = Clock { nowMs }.let { TaskContext(it, DecisionLog(it)) }
    private val members = (0 until count).map { Member(createRecord(it)) }.toMutableList()
    private var latest = 0L
    private val latestServers = LinkedHashMap<ServerName, ServerRecord>()

    /** The store. */
    val store = StoreStandin()

    /** Current time. */
    var nowMs = 0L
        private set

    /** Runs for [durationMs]. */
    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += STEP_MS
            members.forEach { it.step() }
        }
    }

    /** Writes the next configuration. */
    fun changeConfiguration() = store.write(createDesiredState(++latest))

    /** Writes [record], as its server does. */
    fun writeServer(record: ServerRecord) {
        latestServers[record.name] = record
        store.write(record)
    }

    /** Removes the entry of the server [name], which leaves without a notice. */
    fun removeServer(name: String) {
        latestServers.remove(ServerName(name))
        store.remove(ServerName(name))
    }

    /** Requests the evacuation of [zone] or withdraws the request. */
    fun evacuate(zone: String, isEvacuated: Boolean) = store.setEvacuated(ZoneName(zone), isEvacuated)

    /** Makes the store refuse all calls, or ends that. */
    fun setStoreAway(isAway: Boolean) {
        store.faults = StoreFaults(isRefusing = isAway)
    }

    /** Writes again what the operators and the servers wrote last, as they do after a restore. */
    fun writeAgain() {
        writeConfigurationAgain()
        latestServers.values.forEach { store.write(it) }
    }

    /** Writes the latest configuration again. */
    fun writeConfigurationAgain() = store.write(createDesiredState(latest))

    /** Cuts the instances at [indices] off from the store; with [isAll] also from the others. */
    fun cut(indices: IntRange, isCut: Boolean, isAll: Boolean = false) = indices.forEach {
        members[it].client.isCutOff = isCut
        members[it].isOutOfReach = isCut && isAll
    }

    /** Replaces the instances at [indices] by ones that know nothing. */
    fun restart(indices: IntRange) = indices.forEach { members[it] = Member(createRecord(it)) }

    /** Returns the versions of the configurations in force. */
    fun desiredVersions(): List<Long?> =
        members.map { member -> member.steering.withLock { steering, _ -> steering.routes.desired?.version?.value } }

    /** Returns the indices of the instances that may send requests to the server [name]. */
    fun instancesUsing(name: String): List<Int> = members.indices.filter { index ->
        members[index].steering.withLock { steering, _ ->
            steering.servers.find(ServerName(name))?.let { steering.servers.isEligible(it) } == true
        }
    }

    /** Number of calls to the store so far. */
    var storeCalls = 0
        private set

    private fun createRecord(index: Int) = InstanceRecord(
        InstanceName("i$index"),
        zones.keys.elementAt(index % zones.size),
        SocketAddress("10.0.1.$index", 80),
        SocketAddress("10.0.1.$index", 90),
    )

    private inner class Member(val record: InstanceRecord) : PeerClient, StoreListener {
        val client = InMemoryHttpClient({ store.handler(it) }) { storeCalls++ }
        val steering = SynchronizedSteering(
            Steering(InstanceLocation(record.name, record.zone, zones), parameters),
            context.clock,
        )
        private val sync = PeerStateSync(record, this, context) {}
        private val watcher = StoreWatcher(
            createPlatformStore(client, storeAddress) { _, _ -> },
            steering,
            context,
            parameters,
            sync,
            this,
        ).also(sync::attach)
        private val election = WatcherElection(record)
        private val stepsDueAtMs = HashMap<TableWatcher<*>, Long>()
        private val offsetMs = random.nextLong(HEARTBEAT_MS / STEP_MS) * STEP_MS
        private var hasChanged = false

        /** True when no other instance reaches this one. */
        var isOutOfReach = false

        fun step() {
            watcher.tableWatchers.forEach { table ->
                if (nowMs >= (stepsDueAtMs[table] ?: 0)) stepsDueAtMs[table] = nowMs + maxOf(POLL_MS, table.step())
            }
            watcher.expire()
            if (hasChanged || (nowMs + offsetMs) % HEARTBEAT_MS == 0L) sendStatus()
            if ((nowMs + offsetMs) % RELAY_MS == 0L) sync.fetchNewerState()
        }

        override fun runningInstances(): List<InstanceRecord> =
            if (isOutOfReach) listOf(record) else members.filter { !it.isOutOfReach }.map { it.record }

        override fun randomPeer(): InstanceRecord? = (runningInstances() - record).randomOrNull(random)

        override fun fetchState(peer: InstanceRecord, known: KnownVersions): PeerState? =
            members.first { it.record == peer }.takeIf { !it.isOutOfReach && !isOutOfReach }?.watcher?.stateSince(known)

        override fun onCallerLimits(limits: CallerLimits) = Unit

        override fun onChange() {
            hasChanged = true
        }

        private fun sendStatus() {
            hasChanged = false
            val status = sync.statusToSend() ?: return
            val recipients = runningInstances().filter { it.zone == record.zone } +
                election.candidatesInOtherZones(runningInstances())
            members.filter { it.record in recipients && it !== this && !it.isOutOfReach && !isOutOfReach }
                .forEach { it.sync.onStatusReceived(record, status) }
        }
    }
}
