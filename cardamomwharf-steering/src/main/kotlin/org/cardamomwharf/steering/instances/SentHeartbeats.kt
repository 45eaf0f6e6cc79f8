/*
 * When this instance sent its latest heartbeats. Another instance that returns the count of one of them must have
 * received it before.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.Incarnation

/** Number of heartbeats that are kept; they cover several times the longest time that an answer is of use. */
private const val MAX_HEARTBEATS = 64

/** Represents the latest heartbeats that this instance has sent. */
internal class SentHeartbeats {
    private val heartbeats = ArrayDeque<SentHeartbeat>()

    /** Records that [heartbeat] is sent at [nowMs] or later. */
    fun record(heartbeat: Heartbeat, nowMs: Long) {
        heartbeats.addLast(SentHeartbeat(heartbeat.incarnation, heartbeat.count, nowMs))
        if (heartbeats.size > MAX_HEARTBEATS) heartbeats.removeFirst()
    }

    /** Returns the time recorded for the heartbeat with this [count], or null. */
    fun findTimeMs(count: HeartbeatCount): Long? =
        heartbeats.lastOrNull { it.count == count.count && it.incarnation == count.incarnation }?.sentAtMs

    private class SentHeartbeat(val incarnation: Incarnation, val count: Long, val sentAtMs: Long)
}
