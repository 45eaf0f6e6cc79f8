/*
 * The instances of the system. Each counts up a heartbeat of its own and passes on what it heartbeat of others, so that an
 * instance whose heartbeat stands still in every message is taken as gone. An instance that stops says so.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName

/**
 * Represents how an instance can be reached.
 *
 * @param callerAddress where callers send requests.
 * @param peerAddress where other instances send heartbeats.
 */
public data class InstanceRecord(
    public val name: InstanceName,
    public val zone: ZoneName,
    public val callerAddress: SocketAddress,
    public val peerAddress: SocketAddress,
)

/** Represents one instance's state as told by a heartbeat. */
public data class Heartbeat(
    public val record: InstanceRecord,
    public val incarnation: Incarnation,
    public val count: Long,
    public val isLeaving: Boolean,
)

/** Represents how far an instance has counted its heartbeats, without how it can be reached. */
public data class HeartbeatCount(
    public val name: InstanceName,
    public val incarnation: Incarnation,
    public val count: Long,
    public val isLeaving: Boolean,
)

/** Multiple of the silence after which an instance is forgotten; no other passes its heartbeats on by then. */
private const val REMOVAL_FACTOR = 3

/** Represents the known instances, this one included. */
public class InstanceRegistry(own: InstanceRecord, incarnation: Incarnation, private val timeoutMs: Long) {
    private val known = HashMap<InstanceName, ReceivedHeartbeat>()
    private val addresses = HashMap<InstanceName, InstanceRecord>()
    private val ownName = own.name

    init {
        known[ownName] = ReceivedHeartbeat(Heartbeat(own, incarnation, 0, isLeaving = false), Long.MAX_VALUE)
    }

    /** Counts the own heartbeat up. */
    public fun incrementHeartbeat() {
        val own = known.getValue(ownName)
        known[ownName] = own.copy(heartbeat = own.heartbeat.copy(count = own.heartbeat.count + 1))
    }

    /** Notes that this instance is stopping. */
    public fun leave() {
        val own = known.getValue(ownName)
        known[ownName] = own.copy(heartbeat = own.heartbeat.copy(isLeaving = true))
    }

    /** Notes [heartbeat] as told by any instance; what is older than what is known changes nothing. */
    public fun receive(heartbeat: Heartbeat, nowMs: Long) {
        val name = heartbeat.record.name
        if (name == ownName) return raiseIncarnation(heartbeat)
        val before = known[name]?.takeUnless { it.ageMs(nowMs) > REMOVAL_FACTOR * timeoutMs }?.heartbeat
        val isNewer = before == null || heartbeat.incarnation > before.incarnation ||
            (heartbeat.incarnation == before.incarnation && heartbeat.count > before.count)
        if (isNewer) known[name] = ReceivedHeartbeat(heartbeat, nowMs)
    }

    /** Takes how other instances can be reached, so that counts of their heartbeats are understood. */
    public fun addAddresses(records: Collection<InstanceRecord>) {
        records.forEach { addresses.putIfAbsent(it.name, it) }
    }

    /** Notes [counted] as told by any instance; says nothing about an instance that nobody addresses. */
    public fun receive(count: HeartbeatCount, nowMs: Long) {
        val record = known[count.name]?.heartbeat?.record ?: addresses[count.name] ?: return
        receive(Heartbeat(record, count.incarnation, count.count, count.isLeaving), nowMs)
    }

    /** The own heartbeat. */
    public val own: Heartbeat get() = known.getValue(ownName).heartbeat

    /** Returns the heartbeats to pass on. */
    public fun heartbeats(
        nowMs: Long
    ): List<Heartbeat> = known.values.filter { isAlive(it, nowMs) }.map { it.heartbeat }

    /** Returns the instances that take requests. */
    public fun serving(nowMs: Long): List<InstanceRecord> =
        known.values.filter { isAlive(it, nowMs) && !it.heartbeat.isLeaving }.map { it.heartbeat.record }

    /** Returns the instances that run, stopping ones included. */
    public fun running(nowMs: Long): List<InstanceRecord> =
        known.values.filter { isAlive(it, nowMs) }.map { it.heartbeat.record }

    /**
     * Raises the own incarnation above one that others still tell. An incarnation is the time of day of a start, and
     * the time of day may have been set back since.
     */
    private fun raiseIncarnation(heartbeat: Heartbeat) {
        val own = known.getValue(ownName)
        if (heartbeat.incarnation <= own.heartbeat.incarnation) return
        val next = Incarnation(heartbeat.incarnation.value + 1)
        known[ownName] = own.copy(heartbeat = own.heartbeat.copy(incarnation = next))
    }

    private fun isAlive(received: ReceivedHeartbeat, nowMs: Long): Boolean = received.ageMs(nowMs) <= timeoutMs

    /** Represents the newest heartbeat of an instance and when it was first told; the own one is never silent. */
    private data class ReceivedHeartbeat(val heartbeat: Heartbeat, val receivedAtMs: Long) {
        fun ageMs(nowMs: Long): Long = if (receivedAtMs == Long.MAX_VALUE) 0 else nowMs - receivedAtMs
    }
}
