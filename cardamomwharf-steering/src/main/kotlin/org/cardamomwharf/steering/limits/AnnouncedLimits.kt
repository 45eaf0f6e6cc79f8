/*
 * The limits that backend servers announce, and this instance's part of them.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.steering.servers.KnownServer
import org.cardamomwharf.steering.servers.LimitChange

internal class AnnouncedLimits(private val limitSharing: LimitSharing) {
    /** Returns true when [server] can receive one more request now, given the limit that it announces. */
    fun isWithinLimit(server: KnownServer, nowMs: Long): Boolean {
        val limit = server.announcedLimit ?: return true
        val intervalMs = limitSharing.announcedIntervalMs(server, limit.perSecond)
        return intervalMs != null && limit.isAllowed(intervalMs, nowMs)
    }

    /** Sets the limit that [server] announces, and returns the change or null if it is the same. */
    fun set(server: KnownServer, perSecond: Double?, nowMs: Long): LimitChange? {
        val before = server.announcedLimit
        if (before?.perSecond == perSecond) return null
        server.announcedLimit = perSecond?.let { before?.withLimit(it) ?: create(server, it, nowMs) }
        return LimitChange(server.record.name, before?.perSecond, perSecond)
    }

    private fun create(server: KnownServer, perSecond: Double, nowMs: Long): AnnouncedLimit {
        val intervalMs = limitSharing.announcedIntervalMs(server, perSecond)
        return AnnouncedLimit(perSecond, intervalMs, limitSharing.announcedPhase(server), nowMs)
    }
}
