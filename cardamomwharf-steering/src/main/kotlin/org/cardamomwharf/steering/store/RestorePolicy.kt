/*
 * How entries of a store that was away or was restored from a copy are combined with what was known before. The copy is
 * some seconds old; operators and backend servers write their latest state again within a few seconds.
 */
package org.cardamomwharf.steering.store

import org.cardamomwharf.steering.servers.ServerRecord

/**
 * Represents the treatment of the entries of one table after an outage or a restore.
 *
 * @param outageGraceMs time after an outage for which removed entries are kept.
 * @param missingGraceMs time for which entries that the copy lacks are kept.
 * @param revivalDelayMs time after which entries that had been removed count as present when the store still has them;
 * they count at once when they are written again.
 * @param merge returns the value to use, given the one known before and the one in the copy.
 */
public class RestorePolicy<T>(
    public val outageGraceMs: Long,
    public val missingGraceMs: Long,
    public val revivalDelayMs: Long,
    private val merge: (known: T, restored: T) -> T,
) {
    /** Returns the [restored] entry with the value to use, given the one [known] before. */
    internal fun mergeEntry(known: T?, restored: TableEntry<T>): TableEntry<T> {
        val value = restored.value
        return if (known == null || value == null) restored else restored.copy(value = merge(known, value))
    }
}

/** Returns the newer of two orders of one key: a configuration is never replaced by one with a smaller version. */
public fun mergeOrders(known: OperatorOrder, restored: OperatorOrder): OperatorOrder {
    val isKnownNewer = known is OperatorOrder.Desired && restored is OperatorOrder.Desired &&
        known.state.version > restored.state.version
    return if (isKnownNewer) known else restored
}

/**
 * Returns the record of the later start of a backend server. A server that was leaving before the restore still is,
 * because a server never revokes that before its next start.
 */
public fun mergeServers(known: ServerRecord, restored: ServerRecord): ServerRecord = when {
    known.startedAtUnixMs > restored.startedAtUnixMs -> known
    known.startedAtUnixMs < restored.startedAtUnixMs -> restored
    else -> restored.copy(isDraining = known.isDraining || restored.isDraining)
}
