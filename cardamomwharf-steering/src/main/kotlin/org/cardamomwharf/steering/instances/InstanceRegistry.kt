/*
 * The instances of the system. Each counts up a heartbeat of its own and passes on what it heard of others, so that an
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
private const val FORGET_FACTOR = 3

/** Represents the known instances, this one included. */
public class InstanceRegistry(own: InstanceRecord, incarnation: Incarnation, private val silenceMs: Long) {
    private val known = HashMap<InstanceName, Seen>()
    private val introduced = HashMap<InstanceName, InstanceRecord>()
    private val ownName = own.name

    init {
        known[ownName] = Seen(Heartbeat(own, incarnation, 0, isLeaving = false), Long.MAX_VALUE)
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

    /** Notes [heard] as told by any instance; what is older than what is known changes nothing. */
    public fun receive(heard: Heartbeat, nowMs: Long) {
        val name = heard.record.name
        if (name == ownName) return outgrow(heard)
        val before = known[name]?.takeUnless { it.silentForMs(nowMs) > FORGET_FACTOR * silenceMs }?.heartbeat
        val isNews = before == null || heard.incarnation > before.incarnation ||
            (heard.incarnation == before.incarnation && heard.count > before.count)
        if (isNews) known[name] = Seen(heard, nowMs)
    }

    /** Takes how other instances can be reached, so that counts of their heartbeats are understood. */
    public fun addAddresses(records: Collection<InstanceRecord>) {
        records.forEach { introduced.putIfAbsent(it.name, it) }
    }

    /** Notes [counted] as told by any instance; says nothing about an instance that nobody introduced. */
    public fun receive(counted: HeartbeatCount, nowMs: Long) {
        val record = known[counted.name]?.heartbeat?.record ?: introduced[counted.name] ?: return
        receive(Heartbeat(record, counted.incarnation, counted.count, counted.isLeaving), nowMs)
    }

    /** The own heartbeat. */
    public val own: Heartbeat get() = known.getValue(ownName).heartbeat

    /** Returns the heartbeats to pass on. */
    public fun heartbeats(
        nowMs: Long
    ): List<Heartbeat> = known.values.filter { isHeard(it, nowMs) }.map { it.heartbeat }

    /** Returns the instances that take requests. */
    public fun serving(nowMs: Long): List<InstanceRecord> =
        known.values.filter { isHeard(it, nowMs) && !it.heartbeat.isLeaving }.map { it.heartbeat.record }

    /** Returns the instances that run, stopping ones included. */
    public fun running(nowMs: Long): List<InstanceRecord> =
        known.values.filter { isHeard(it, nowMs) }.map { it.heartbeat.record }

    /**
     * Raises the own incarnation above one that others still tell. An incarnation is the time of day of a start, and
     * the time of day may have been set back since.
     */
    private fun outgrow(heard: Heartbeat) {
        val own = known.getValue(ownName)
        if (heard.incarnation <= own.heartbeat.incarnation) return
        val next = Incarnation(heard.incarnation.value + 1)
        known[ownName] = own.copy(heartbeat = own.heartbeat.copy(incarnation = next))
    }

    private fun isHeard(seen: Seen, nowMs: Long): Boolean = seen.silentForMs(nowMs) <= silenceMs

    /** Represents the newest heartbeat of an instance and when it was first told; the own one is never silent. */
    private data class Seen(val heartbeat: Heartbeat, val heardAtMs: Long) {
        fun silentForMs(nowMs: Long): Long = if (heardAtMs == Long.MAX_VALUE) 0 else nowMs - heardAtMs
    }
}
