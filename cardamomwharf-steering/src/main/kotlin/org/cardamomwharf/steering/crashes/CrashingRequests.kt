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

/** Maximum number of blocked requests in one heartbeat; keeps it small. */
private const val MAX_NOTICES = 8

/** Keeps what the instance [self] knows about requests that crash servers. */
public class CrashingRequests(self: InstanceName) {
    private val counts = CrashCounts()
    private val blocks = RequestBlocks()
    private val order = InstanceOrder(self)

    /** Messages to other instances and changes to log. */
    public val outbox: CrashOutbox = CrashOutbox(self)

    /** Number of requests that are kept with their crashes or blocks; bounded. */
    public val trackedCount: Int get() = counts.size + blocks.size

    /** Sets the live instances, including this one. */
    public fun setInstances(live: Collection<InstanceName>): Unit = order.update(live)

    /** Returns true when the request is blocked and may not be sent a second time. */
    public fun isBlocked(fingerprint: Long): Boolean = blocks.isBlocked(fingerprint)

    /** Returns the time until the request may be sent, or 0 when it may be sent now. */
    public fun remainingMs(fingerprint: Long, nowMs: Long): Long =
        if (blocks.isBlocked(fingerprint)) blocks.remainingMs(fingerprint, order.ownRank(fingerprint), nowMs) else 0

    /** Records that the request is sent now. */
    public fun recordSent(fingerprint: Long, nowMs: Long) {
        if (blocks.isBlocked(fingerprint)) blocks.recordTry(fingerprint, nowMs)
    }

    /** Records that [server] broke off its connection while it had the request. */
    public fun recordCrash(fingerprint: Long, server: ServerName, startedAtUnixMs: Long, nowMs: Long) {
        val report = CrashReport(fingerprint, combineHashes(hash64(server.value), startedAtUnixMs))
        outbox.add(order.countingInstances(fingerprint), CrashMessage(reports = listOf(report)))
        count(report, nowMs)
    }

    /** Records that a server answered the request. */
    public fun recordAnswer(fingerprint: Long, nowMs: Long) {
        if (counts.clear(fingerprint)) {
            outbox.add(order.countingInstances(fingerprint), CrashMessage(answered = listOf(fingerprint)))
        }
        blocks.lift(fingerprint, nowMs)?.let(::tell)
    }

    /** Processes a message of another instance. */
    public fun receive(message: CrashMessage, nowMs: Long) {
        message.reports.forEach { count(it, nowMs) }
        message.suspects.forEach { counts.suspect(it) }
        message.answered.forEach {
            counts.clear(it)
            blocks.lift(it, nowMs)?.let(::tell)
        }
        message.blocks.filter { blocks.receive(it, nowMs) }.forEach { outbox.add(it) }
    }

    /** Returns the message that regular heartbeats carry, so that instances that just started learn of blocks. */
    public fun regularMessage(nowMs: Long): CrashMessage? =
        blocks.latest(MAX_NOTICES, nowMs).ifEmpty { null }?.let { CrashMessage(blocks = it) }

    private fun count(report: CrashReport, nowMs: Long) {
        val fingerprint = report.fingerprint
        val isBlocked = blocks.isBlocked(fingerprint)
        val crashes = if (isBlocked) null else counts.add(report)
        if (crashes == MAX_CRASHES || (isBlocked && blocks.isTryFailed(fingerprint, nowMs))) {
            counts.clear(fingerprint)
            tell(blocks.block(fingerprint, nowMs))
        } else if (crashes == SUSPECT_CRASHES) {
            counts.suspect(fingerprint)
            outbox.add(null, CrashMessage(suspects = listOf(fingerprint)))
        }
    }

    private fun tell(notice: BlockNotice) {
        outbox.add(notice)
        outbox.add(null, CrashMessage(blocks = listOf(notice)))
    }
}
