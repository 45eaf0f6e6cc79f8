/*
 * What a process believes of one table, shared between the threads that learn of changes. Each change is logged and
 * handed on under one lock, so that changes of two threads are handed on in their order.
 */
package org.cardamomwharf.gateway.store

import kotlinx.serialization.json.put
import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.steering.store.CachedTable
import org.cardamomwharf.steering.store.TableChange
import org.cardamomwharf.steering.store.TableUpdate

/** Length at which values are cut in log lines. */
private const val MAX_VALUE_CHARACTERS = 300

internal class SynchronizedTable<T>(
    private val name: String,
    private val tools: TaskContext,
    restoreGraceMs: Long,
    private val onChange: (List<TableChange<T>>) -> Unit,
) {
    private val belief = CachedTable<T>(restoreGraceMs)

    /** True when the table was read once, here or by another instance. */
    @Volatile
    var isKnown = false
        private set

    /** Version of the store up to which everything is known. */
    val version: Long get() = synchronized(belief) { belief.version }

    /** Newest version of an entry that is known. */
    val contentVersion: Long get() = synchronized(belief) { belief.contentVersion }

    /** Returns what is known when it is newer than [version], or null. */
    fun updateSince(version: Long): TableUpdate<T>? =
        synchronized(belief) { if (isKnown && belief.version > version) belief.updateSince(version) else null }

    /** Returns the rest of the grace period for entries that lapsed during an outage. */
    fun remainingGraceMs(): Long = synchronized(belief) { belief.gracePeriod.remainingMs(tools.clock.nowMs()) }

    /** Notes that the store answers again after an outage. */
    fun startGracePeriod() {
        if (isKnown) synchronized(belief) { belief.gracePeriod.start(tools.clock.nowMs()) }
    }

    /** Takes a reading of the store; returns false when it is older than what is known and must be read again. */
    fun take(reading: TableUpdate<T>): Boolean = synchronized(belief) {
        val isStale = belief.isStale(reading)
        publish { belief.apply(reading, tools.clock.nowMs()) }
        isKnown = true
        !isStale
    }

    /** Takes what another instance knows, with the rest of its grace period. */
    fun applyFromPeer(reading: TableUpdate<T>, remainingGraceMs: Long) {
        publish {
            belief.gracePeriod.extend(remainingGraceMs, tools.clock.nowMs())
            belief.apply(reading, tools.clock.nowMs())
        }
        isKnown = true
    }

    /** Removes entries whose grace period is over; due a few times a second. */
    fun expire() = publish { belief.expire(tools.clock.nowMs()) }

    private fun publish(change: () -> List<TableChange<T>>) = synchronized(belief) {
        val changes = change()
        if (changes.isNotEmpty()) {
            changes.forEach(::log)
            onChange(changes)
        }
    }

    private fun log(change: TableChange<T>) = tools.log.event("belief") {
        put("table", name)
        put("key", change.key)
        put("version", change.version)
        put("before", change.before?.toString()?.take(MAX_VALUE_CHARACTERS))
        put("after", change.after?.toString()?.take(MAX_VALUE_CHARACTERS))
    }
}
