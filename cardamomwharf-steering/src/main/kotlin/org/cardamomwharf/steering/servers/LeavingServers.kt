/*
 * The backend servers that have announced in a response that they are leaving. A server never revokes that before its
 * next start, so the announcement is kept when the record of the server is removed: a store that is late, or was
 * restored from a copy, may state the same start once more.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.core.ServerName

/** Maximum number of servers that are kept; far above the number of servers that leave within an hour. */
private const val MAX_SERVERS = 10_000

/** Start time of a server whose record states none. */
private const val UNKNOWN_START = 0L

/** Keeps the latest start that announced its leaving, by server. */
internal class LeavingServers {
    private val startsAtUnixMs = LinkedHashMap<ServerName, Long>()

    /** Returns true when the server of [record] announced that it is leaving, since the start there or a later one. */
    operator fun contains(record: ServerRecord): Boolean =
        startsAtUnixMs[record.name].let { it != null && it >= record.startedAtUnixMs }

    /** Adds the server, and returns false when it was known to be leaving since this start or a later one. */
    fun add(name: ServerName, startedAtUnixMs: Long): Boolean {
        val known = startsAtUnixMs[name]
        if (known != null && known >= startedAtUnixMs) return false
        startsAtUnixMs[name] = startedAtUnixMs
        if (startsAtUnixMs.size > MAX_SERVERS) startsAtUnixMs.remove(startsAtUnixMs.keys.first())
        return true
    }

    /** Forgets the server of a removed [record] if its next start couldn't be told from this one. */
    fun onRemoved(record: ServerRecord) {
        if (record.startedAtUnixMs == UNKNOWN_START) startsAtUnixMs.remove(record.name)
    }
}
