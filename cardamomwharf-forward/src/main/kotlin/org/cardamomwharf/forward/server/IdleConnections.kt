/*
 * Connections to backend servers that carry no request. The latest is used first, so that the others run into their
 * time-out and are closed.
 */
package org.cardamomwharf.forward.server

internal class IdleConnections {
    private val byKey = HashMap<ServerKey, ArrayDeque<ServerConnection>>()

    /** Removes and returns a connection that may be used at [nowMs], or null. */
    @Synchronized
    fun take(key: ServerKey, nowMs: Long): ServerConnection? {
        val kept = byKey[key] ?: return null
        var latest = kept.removeLastOrNull()
        while (latest != null && isExpired(latest, nowMs)) {
            latest.close()
            latest = kept.removeLastOrNull()
        }
        return latest
    }

    @Synchronized
    fun add(connection: ServerConnection) {
        byKey.getOrPut(connection.key) { ArrayDeque() }.addLast(connection)
    }

    @Synchronized
    fun remove(connection: ServerConnection) {
        val kept = byKey[connection.key] ?: return
        kept.remove(connection)
        if (kept.isEmpty()) byKey.remove(connection.key)
    }

    @Synchronized
    fun expired(nowMs: Long): List<ServerConnection> =
        byKey.values.flatMap { kept -> kept.filter { isExpired(it, nowMs) } }

    private fun isExpired(connection: ServerConnection, nowMs: Long): Boolean =
        nowMs - connection.idleSinceMs >= connection.keptForMs
}
