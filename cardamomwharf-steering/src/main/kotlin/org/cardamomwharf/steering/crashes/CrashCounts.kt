/*
 * Counts the servers that crashed under each request since it was last answered.
 */
package org.cardamomwharf.steering.crashes

/** Maximum number of requests whose crashes are counted; about 1 MB. */
private const val MAX_COUNTS = 4_096

/** Keeps the crashed servers by request, and the requests that other instances suspect. */
internal class CrashCounts {
    private val crashedServers = BoundedMap<Long, MutableSet<Long>>(MAX_COUNTS)
    private val suspects = BoundedMap<Long, Unit>(MAX_COUNTS)

    /** Number of requests that are kept. */
    val size: Int get() = crashedServers.size + suspects.size

    /** Returns the number of servers that crashed under the request, or null when [report] was counted before. */
    fun add(report: CrashReport): Int? {
        val servers = crashedServers.getOrPut(report.fingerprint) { HashSet() }
        return if (servers.add(report.server)) servers.size else null
    }

    /** Marks the request as one whose answers others ask for. */
    fun suspect(fingerprint: Long) {
        suspects[fingerprint] = Unit
    }

    /** Forgets the request; returns true when it was known. */
    fun clear(fingerprint: Long): Boolean {
        val isCounted = crashedServers.remove(fingerprint) != null
        return suspects.remove(fingerprint) != null || isCounted
    }
}
