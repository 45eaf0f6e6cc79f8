/*
 * The instances of the system, tracked by heartbeats. Each instance increments its own heartbeat count and relays the
 * counts of others. An instance whose count no longer grows in any message counts as down. An instance that stops
 * announces that it is leaving.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName

/**
 * Represents the addresses of an instance.
 *
 * @param callerAddress address for requests of callers.
 * @param peerAddress address for heartbeats of other instances.
 */
public data class InstanceRecord(
    public val name: InstanceName,
    public val zone: ZoneName,
    public val callerAddress: SocketAddress,
    public val peerAddress: SocketAddress,
)

/** Represents the state of an instance in a heartbeat. */
public data class Heartbeat(
    public val record: InstanceRecord,
    public val incarnation: Incarnation,
    public val count: Long,
    public val isLeaving: Boolean,
)

/** Represents the state of an instance in a heartbeat, without its addresses. */
public data class HeartbeatCount(
    public val name: InstanceName,
    public val incarnation: Incarnation,
    public val count: Long,
    public val isLeaving: Boolean,
)

/**
 * Multiple of the heartbeat timeout after which an instance is forgotten; by then, no other instance relays its
 * heartbeats.
 */
private const val REMOVAL_FACTOR = 3

/** Represents the known instances, including this one. */
public class InstanceRegistry(own: InstanceRecord, incarnation: Incarnation, private val timeoutMs: Long) {
    private val known = HashMap<InstanceName, ReceivedHeartbeat>()
    private val addresses = HashMap<InstanceName, InstanceRecord>()
    private val ownName = own.name

    init {
        known[ownName] = ReceivedHeartbeat(Heartbeat(own, incarnation, 0, isLeaving = false), Long.MAX_VALUE)
    }

    /** Increments the own heartbeat count. */
    public fun incrementHeartbeat() {
        val own = known.getValue(ownName)
        known[ownName] = own.copy(heartbeat = own.heartbeat.copy(count = own.heartbeat.count + 1))
    }

    /** Marks this instance as leaving. */
    public fun leave() {
        val own = known.getValue(ownName)
        known[ownName] = own.copy(heartbeat = own.heartbeat.copy(isLeaving = true))
    }

    /** Processes [heartbeat], received from any instance. A heartbeat older than the known one is ignored. */
    public fun receive(heartbeat: Heartbeat, nowMs: Long) {
        val name = heartbeat.record.name
        if (name == ownName) return raiseIncarnation(heartbeat)
        val before = known[name]?.takeUnless { it.ageMs(nowMs) > REMOVAL_FACTOR * timeoutMs }?.heartbeat
        val isNewer = before == null || heartbeat.incarnation > before.incarnation ||
            (heartbeat.incarnation == before.incarnation && heartbeat.count > before.count)
        if (isNewer) known[name] = ReceivedHeartbeat(heartbeat, nowMs)
    }

    /** Adds the addresses of other instances, so that their heartbeat counts can be processed. */
    public fun addAddresses(records: Collection<InstanceRecord>) {
        records.forEach { addresses.putIfAbsent(it.name, it) }
    }

    /** Processes [count], received from any instance. The count of an instance with unknown addresses is ignored. */
    public fun receive(count: HeartbeatCount, nowMs: Long) {
        val record = known[count.name]?.heartbeat?.record ?: addresses[count.name] ?: return
        receive(Heartbeat(record, count.incarnation, count.count, count.isLeaving), nowMs)
    }

    /** The own heartbeat. */
    public val own: Heartbeat get() = known.getValue(ownName).heartbeat

    /** Returns the heartbeats to relay. */
    public fun heartbeats(
        nowMs: Long
    ): List<Heartbeat> = known.values.filter { isAlive(it, nowMs) }.map { it.heartbeat }

    /** Returns the instances that accept requests. */
    public fun serving(nowMs: Long): List<InstanceRecord> =
        known.values.filter { isAlive(it, nowMs) && !it.heartbeat.isLeaving }.map { it.heartbeat.record }

    /** Returns the running instances, including leaving ones. */
    public fun running(nowMs: Long): List<InstanceRecord> =
        known.values.filter { isAlive(it, nowMs) }.map { it.heartbeat.record }

    /**
     * Raises the own incarnation above a higher one that others still relay. An incarnation is the wall-clock time of a
     * start, and the clock may have been set back since.
     */
    private fun raiseIncarnation(heartbeat: Heartbeat) {
        val own = known.getValue(ownName)
        if (heartbeat.incarnation <= own.heartbeat.incarnation) return
        val next = Incarnation(heartbeat.incarnation.value + 1)
        known[ownName] = own.copy(heartbeat = own.heartbeat.copy(incarnation = next))
    }

    private fun isAlive(received: ReceivedHeartbeat, nowMs: Long): Boolean = received.ageMs(nowMs) <= timeoutMs

    /**
     * Represents the latest heartbeat of an instance and the time of its first receipt; the own heartbeat never ages.
     */
    private data class ReceivedHeartbeat(val heartbeat: Heartbeat, val receivedAtMs: Long) {
        fun ageMs(nowMs: Long): Long = if (receivedAtMs == Long.MAX_VALUE) 0 else nowMs - receivedAtMs
    }
}
