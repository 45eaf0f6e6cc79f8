/*
 * A cached table of the store, shared between the threads that receive changes. Each change is logged and published
 * under one lock, so that changes of two threads are published in order.
 */
package org.cardamomwharf.gateway.store

import kotlinx.serialization.json.put
import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.steering.store.CachedTable
import org.cardamomwharf.steering.store.RestorePolicy
import org.cardamomwharf.steering.store.StoreVersion
import org.cardamomwharf.steering.store.TableChange
import org.cardamomwharf.steering.store.TableUpdate

/** Length to which values are truncated in log lines. */
private const val MAX_VALUE_CHARACTERS = 300

internal class SynchronizedTable<T>(
    private val name: String,
    private val context: TaskContext,
    restorePolicy: RestorePolicy<T>,
    private val onChange: (List<TableChange<T>>) -> Unit,
) {
    private val table = CachedTable(restorePolicy)

    /** True once the table has been read, by this instance or by another one. */
    @Volatile
    var isLoaded = false
        private set

    /** Version of the store up to which all changes are known. */
    val version: StoreVersion get() = synchronized(table) { table.version }

    /** Version of the newest known entry. */
    val contentVersion: StoreVersion get() = synchronized(table) { table.contentVersion }

    /** Returns the changes since [version], or null when there are none. */
    fun updateSince(version: StoreVersion): TableUpdate<T>? =
        synchronized(table) { if (isLoaded && table.version > version) table.updateSince(version) else null }

    /** Returns the remaining grace period of entries that expired during an outage. */
    fun remainingGraceMs(): Long = synchronized(table) { table.gracePeriod.remainingMs(context.clock.nowMs()) }

    /** Starts the grace period when the store is available again after an outage. */
    fun startGracePeriod() {
        if (isLoaded) synchronized(table) { table.gracePeriod.start(context.clock.nowMs()) }
    }

    /** Applies [update]; returns false when it is older than the cached state and the table must be read again. */
    fun apply(update: TableUpdate<T>): Boolean = synchronized(table) {
        val isStale = table.isStale(update)
        publish { table.apply(update, context.clock.nowMs()) }
        isLoaded = true
        !isStale
    }

    /** Applies [update] received from another instance, with the remaining grace period there. */
    fun applyFromPeer(update: TableUpdate<T>, remainingGraceMs: Long) {
        publish {
            table.gracePeriod.extend(remainingGraceMs, context.clock.nowMs())
            table.apply(update, context.clock.nowMs())
        }
        isLoaded = true
    }

    /** Removes entries whose grace period is over; must be called a few times per second. */
    fun expire() = publish { table.expire(context.clock.nowMs()) }

    private fun publish(applyChange: () -> List<TableChange<T>>) = synchronized(table) {
        val changes = applyChange()
        if (changes.isNotEmpty()) {
            changes.forEach(::log)
            onChange(changes)
        }
    }

    private fun log(change: TableChange<T>) = context.log.event("belief") {
        put("table", name)
        put("key", change.key)
        put("version", change.version)
        put("before", change.before?.toString()?.take(MAX_VALUE_CHARACTERS))
        put("after", change.after?.toString()?.take(MAX_VALUE_CHARACTERS))
    }
}
