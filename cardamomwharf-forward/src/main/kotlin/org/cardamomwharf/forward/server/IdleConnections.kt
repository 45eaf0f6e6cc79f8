/*
 * Idle connections to backend servers. The most recently used one is reused first, so that surplus connections reach
 * their idle timeout and are closed.
 */
package org.cardamomwharf.forward.server

internal class IdleConnections {
    private val byKey = HashMap<ServerKey, ArrayDeque<ServerConnection>>()

    /** Removes and returns a connection that hasn't expired at [nowMs], or returns null. */
    @Synchronized
    fun take(key: ServerKey, nowMs: Long): ServerConnection? {
        val connections = byKey[key] ?: return null
        var latest = connections.removeLastOrNull()
        while (latest != null && isExpired(latest, nowMs)) {
            latest.close()
            latest = connections.removeLastOrNull()
        }
        return latest
    }

    @Synchronized
    fun add(connection: ServerConnection) {
        byKey.getOrPut(connection.key) { ArrayDeque() }.addLast(connection)
    }

    @Synchronized
    fun remove(connection: ServerConnection) {
        val connections = byKey[connection.key] ?: return
        connections.remove(connection)
        if (connections.isEmpty()) byKey.remove(connection.key)
    }

    /** Removes and returns the connections that have expired at [nowMs]; none of them can be taken any more. */
    @Synchronized
    fun removeExpired(nowMs: Long): List<ServerConnection> {
        val expired = byKey.values.flatMap { connections -> connections.filter { isExpired(it, nowMs) } }
        expired.forEach { remove(it) }
        return expired
    }

    private fun isExpired(connection: ServerConnection, nowMs: Long): Boolean =
        nowMs - connection.idleSinceMs >= connection.idleTimeoutMs
}
