/*
 * Finds requests that crash the backend servers that run them, so that they aren't sent to server after server. When a
 * server breaks off a connection, its request may be the cause or may only have been there. Instances report such
 * requests to two of them, chosen by the request, which count the crashed servers. A request under which three servers
 * crashed, and which no server has answered since, is blocked on all instances. An answer at any instance clears it.
 */
package org.cardamomwharf.steering.crashes

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.combineHashes
import org.cardamomwharf.core.hash64

/** Crashed servers after which a request is blocked. */
private const val MAX_CRASHES = 3

/** Crashed servers after which all instances are asked for answers to the request. */
private const val SUSPECT_CRASHES = 2

/** Instances that count the crashes under one request; two, in case one fails or a datagram is lost. */
private const val COUNTING_INSTANCES = 2

/** Maximum number of requests whose crashes are counted; about 1 MB. */
private const val MAX_TALLIES = 4_096

/** Maximum number of blocked requests in one message. */
private const val MAX_NOTICES = 32

/** Represents a change of the block of a request, for logs and metrics. */
public data class BlockChange(public val fingerprint: Long, public val isBlocked: Boolean, public val remainingMs: Long)

/** Keeps what the instance [self] knows about requests that crash servers. */
public class CrashingRequests(private val self: InstanceName) {
    private val tallies = BoundedMap<Long, MutableSet<Long>>(MAX_TALLIES)
    private val suspects = BoundedMap<Long, Unit>(MAX_TALLIES)
    private val blocks = RequestBlocks()
    private val outgoing = ArrayList<OutgoingCrashMessage>()
    private val changes = ArrayList<BlockChange>()
    private var instances: List<InstanceName> = listOf(self)

    /** Number of requests that are kept with their crashes or blocks; bounded. */
    public val trackedCount: Int get() = tallies.size + suspects.size + blocks.size

    /** Sets the live instances, including this one. */
    public fun setInstances(live: Collection<InstanceName>) {
        instances = live.toList()
    }

    /** Returns true when the request is blocked and may not be sent a second time. */
    public fun isBlocked(fingerprint: Long): Boolean = blocks.isBlocked(fingerprint)

    /** Returns the time until the request may be sent, or 0 when it may be sent now. */
    public fun remainingMs(fingerprint: Long, nowMs: Long): Long =
        if (blocks.isBlocked(fingerprint)) blocks.remainingMs(fingerprint, rankFor(fingerprint), nowMs) else 0

    /** Records that the request is sent now. */
    public fun recordSent(fingerprint: Long, nowMs: Long) {
        if (blocks.isBlocked(fingerprint)) blocks.recordTry(fingerprint, nowMs)
    }

    /** Records that [server] broke off its connection while it had the request. */
    public fun recordCrash(fingerprint: Long, server: ServerName, startedAtUnixMs: Long, nowMs: Long) {
        val report = CrashReport(fingerprint, combineHashes(hash64(server.value), startedAtUnixMs))
        send(countingInstances(fingerprint), CrashMessage(reports = listOf(report)))
        count(report, nowMs)
    }

    /** Records that a server answered the request. */
    public fun recordAnswer(fingerprint: Long, nowMs: Long) {
        val isReported = tallies.remove(fingerprint) != null
        val isSuspect = suspects.remove(fingerprint) != null
        if (isReported || isSuspect) {
            send(countingInstances(fingerprint), CrashMessage(answered = listOf(fingerprint)))
        }
        lift(fingerprint, nowMs)
    }

    /** Processes a message of another instance. */
    public fun receive(message: CrashMessage, nowMs: Long) {
        message.reports.forEach { count(it, nowMs) }
        message.suspects.forEach { suspects[it] = Unit }
        message.answered.forEach {
            tallies.remove(it)
            suspects.remove(it)
            lift(it, nowMs)
        }
        message.blocks.filter { blocks.receive(it, nowMs) }.forEach(::recordChange)
    }

    /** Returns the messages to send since the last call. */
    public fun takeOutgoing(): List<OutgoingCrashMessage> = outgoing.toList().also { outgoing.clear() }

    /** Returns the changes of blocks since the last call. */
    public fun takeChanges(): List<BlockChange> = changes.toList().also { changes.clear() }

    /** True when there are messages to send. */
    public val hasOutgoing: Boolean get() = outgoing.isNotEmpty()

    /** Returns the message that regular heartbeats carry, so that instances that just started learn of blocks. */
    public fun regularMessage(nowMs: Long): CrashMessage? =
        blocks.latest(MAX_NOTICES, nowMs).ifEmpty { null }?.let { CrashMessage(blocks = it) }

    private fun count(report: CrashReport, nowMs: Long) {
        val fingerprint = report.fingerprint
        if (blocks.isBlocked(fingerprint)) {
            if (blocks.isTryFailed(fingerprint, nowMs)) block(fingerprint, nowMs)
            return
        }
        val crashed = tallies.getOrPut(fingerprint) { HashSet() }
        if (!crashed.add(report.server)) return
        when (crashed.size) {
            MAX_CRASHES -> block(fingerprint, nowMs)
            SUSPECT_CRASHES -> {
                suspects[fingerprint] = Unit
                send(null, CrashMessage(suspects = listOf(fingerprint)))
            }
        }
    }

    private fun block(fingerprint: Long, nowMs: Long) {
        tallies.remove(fingerprint)
        suspects.remove(fingerprint)
        tell(blocks.block(fingerprint, nowMs))
    }

    private fun lift(fingerprint: Long, nowMs: Long) {
        blocks.lift(fingerprint, nowMs)?.let(::tell)
    }

    private fun tell(notice: BlockNotice) {
        recordChange(notice)
        send(null, CrashMessage(blocks = listOf(notice)))
    }

    private fun recordChange(notice: BlockNotice) {
        changes.add(BlockChange(notice.fingerprint, !notice.isLifted, notice.remainingMs))
    }

    private fun send(recipients: Collection<InstanceName>?, message: CrashMessage) {
        val others = recipients?.filter { it != self }?.toSet()
        if (others == null || others.isNotEmpty()) outgoing.add(OutgoingCrashMessage(others, message))
    }

    private fun countingInstances(fingerprint: Long): List<InstanceName> =
        orderFor(fingerprint).take(COUNTING_INSTANCES)

    private fun rankFor(fingerprint: Long): Int = orderFor(fingerprint).indexOf(self).coerceAtLeast(0)

    private fun orderFor(fingerprint: Long): List<InstanceName> =
        instances.sortedByDescending { combineHashes(fingerprint, hash64(it.value)) }
}
