/*
 * Cached copy of a table of the store. Every entry carries the version of the transaction that wrote it, and an older
 * entry never replaces a newer one. Entries are kept while the store is unavailable. Entries found to be removed right
 * after an outage are kept for a grace period, because their owners may only have failed to renew them.
 *
 * When the store was restored from a copy, its versions are comparable only within the new epoch. The whole table is
 * then read, and every entry gets its version of the new epoch. What was known before the restore is newer than the
 * copy until the owners of the entries have written them again, so the copy neither removes nor revives an entry at
 * once.
 */
package org.cardamomwharf.steering.store

import kotlinx.serialization.Serializable

/**
 * Represents an entry of a table; [value] is null when it was removed or is unusable. Its version belongs to the epoch
 * of the table or update that it is part of.
 */
@Serializable
public data class TableEntry<T>(public val key: String, public val version: Long, public val value: T?)

/**
 * Represents entries read from the store.
 *
 * @param version latest version of the store at the time of reading.
 * @param isWhole true when the entries are the whole table, so that every missing key has been removed.
 * @param epoch epoch of the store, which rises each time the store is restored from a copy; 0 when it isn't known.
 */
@Serializable
public data class TableUpdate<T>(
    public val entries: List<TableEntry<T>>,
    public val version: Long,
    public val isWhole: Boolean,
    public val epoch: Long = 0,
) {
    /** Latest version of the store at the time of reading. */
    val storeVersion: StoreVersion get() = StoreVersion(epoch, version)
}

/** Represents a change of a cached entry. */
public data class TableChange<T>(
    public val key: String,
    public val version: Long,
    public val before: T?,
    public val after: T?
)

/** Represents the cached contents of a table. */
public class CachedTable<T>(private val restorePolicy: RestorePolicy<T>) {
    /** The grace period after an outage, in which removed entries are kept. */
    public val gracePeriod: GracePeriod = GracePeriod(restorePolicy.outageGraceMs)
    private val entries = HashMap<String, TableEntry<T>>()
    private val removalsDueAtMs = HashMap<String, Long>()

    /** Times at which entries that were removed before a restore and are in the copy count as present. */
    private val revivalsDueAtMs = HashMap<String, Long>()

    /** Version from which on all removals are known. */
    private var completeSince = StoreVersion(Long.MAX_VALUE, Long.MAX_VALUE)

    /** Latest known version of the store; [StoreVersion.NONE] before the first update. */
    public var version: StoreVersion = StoreVersion.NONE
        private set

    /** Latest known version of an entry, including removals; unlike [version], it doesn't grow without changes. */
    public var contentVersion: StoreVersion = StoreVersion.NONE
        private set

    /** Returns the cached value of [key], or null. */
    public fun find(key: String): T? = if (key in revivalsDueAtMs) null else entries[key]?.value

    /**
     * Returns the update for another process that knows [knownVersion]: the whole table when removals since then may be
     * missing here. Entries kept for the grace period count as removed.
     */
    public fun updateSince(knownVersion: StoreVersion): TableUpdate<T> {
        val isWhole = knownVersion < completeSince
        val visible = entries.values.map { if (it.key in removalsDueAtMs) it.copy(value = null) else it }
        val changed = visible.filter { if (isWhole) it.value != null else it.version > knownVersion.number }
        return TableUpdate(changed, version.number, isWhole, version.epoch)
    }

    /**
     * Returns true when [update] can't be applied, so that the table has to be read again: it is older than the cached
     * state, or it holds only changes of an epoch whose whole table wasn't read yet.
     */
    public fun isStale(update: TableUpdate<T>): Boolean = when {
        update.epoch < version.epoch -> true
        update.isWhole -> update.storeVersion < version
        else -> update.epoch > version.epoch
    }

    /** Applies [update] and returns the changes. A stale update changes nothing. */
    public fun apply(update: TableUpdate<T>, nowMs: Long): List<TableChange<T>> {
        if (isStale(update)) return emptyList()
        val isRestored = update.epoch > version.epoch
        if (isRestored) startEpoch(update, nowMs)
        val next =
            if (isRestored) update.entries.map { restorePolicy.mergeEntry(find(it.key), it) } else update.entries
        val changes = next.mapNotNull { applyEntry(it, nowMs) }.toMutableList()
        if (update.isWhole) {
            val present = update.entries.mapTo(HashSet()) { it.key }
            val absent = entries.values.filter { it.key !in present && it.version <= update.version }
            absent.mapNotNullTo(changes) { applyEntry(TableEntry(it.key, update.version, null), nowMs) }
            completeSince = minOf(completeSince, update.storeVersion)
        }
        version = maxOf(version, update.storeVersion)
        return changes
    }

    /**
     * Removes the entries whose grace period has ended, adds the ones that are believed to be back, and returns the
     * changes.
     */
    public fun expire(nowMs: Long): List<TableChange<T>> {
        val expired = removalsDueAtMs.filterValues { it <= nowMs }.keys.toList()
        val removals = expired.mapNotNull { key ->
            removalsDueAtMs.remove(key)
            val entry = entries[key] ?: return@mapNotNull null
            entries[key] = entry.copy(value = null)
            TableChange(key, entry.version, entry.value, null)
        }
        val revived = revivalsDueAtMs.filterValues { it <= nowMs }.keys.toList()
        return removals + revived.mapNotNull { key ->
            revivalsDueAtMs.remove(key)
            entries[key]?.takeIf { it.value != null }?.let { TableChange(key, it.version, null, it.value) }
        }
    }

    /** Makes all known entries older than those of [update], the whole table in a later epoch. */
    private fun startEpoch(update: TableUpdate<T>, nowMs: Long) {
        if (version != StoreVersion.NONE) {
            gracePeriod.start(nowMs, restorePolicy.missingGraceMs)
            update.entries.filter { it.key in entries && find(it.key) == null }
                .forEach { revivalsDueAtMs[it.key] = nowMs + restorePolicy.revivalDelayMs }
        }
        entries.replaceAll { _, entry -> entry.copy(version = 0) }
        version = StoreVersion(update.epoch, 0)
        contentVersion = version
        completeSince = update.storeVersion
    }

    private fun applyEntry(next: TableEntry<T>, nowMs: Long): TableChange<T>? {
        val known = entries[next.key]
        if (known == null || known.version <= next.version) {
            contentVersion = maxOf(contentVersion, StoreVersion(version.epoch, next.version))
        }
        return when {
            known != null && known.version >= next.version -> null
            known?.version == 0L && next.key in revivalsDueAtMs -> null.also { entries[next.key] = next }
            next.value == null && find(next.key) != null && nowMs < gracePeriod.endsAtMs ->
                known?.let { postponeRemoval(it, next) }
            else -> replace(next)
        }
    }

    private fun postponeRemoval(known: TableEntry<T>, removal: TableEntry<T>): TableChange<T>? {
        entries[known.key] = known.copy(version = removal.version)
        removalsDueAtMs.putIfAbsent(known.key, gracePeriod.endsAtMs)
        return null
    }

    private fun replace(next: TableEntry<T>): TableChange<T>? {
        val before = find(next.key)
        revivalsDueAtMs.remove(next.key)
        if (next.value == null) purgeOldTombstones() else removalsDueAtMs.remove(next.key)
        entries[next.key] = next
        return if (before == next.value) null else TableChange(next.key, next.version, before, next.value)
    }

    private fun purgeOldTombstones() {
        if (entries.size <= MAX_ENTRIES) return
        entries.values.filter { it.value == null }.sortedBy { it.version }
            .take(entries.size - MAX_ENTRIES)
            .forEach {
                entries.remove(it.key)
                completeSince = maxOf(completeSince, StoreVersion(version.epoch, it.version))
            }
    }

    private companion object {
        /** Maximum number of entries, including removals; far above the number of backend servers in a deployment. */
        const val MAX_ENTRIES = 20_000
    }
}
