/*
 * A store whose answers show the state of a chosen moment, so that an answer can arrive long after it was made. It only
 * holds the configuration.
 */
package org.cardamomwharf.gateway.support

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.store.DeploymentStore
import org.cardamomwharf.steering.store.OperatorOrder
import org.cardamomwharf.steering.store.StoreError
import org.cardamomwharf.steering.store.StoreTable
import org.cardamomwharf.steering.store.StoreVersion
import org.cardamomwharf.steering.store.TableEntry
import org.cardamomwharf.steering.store.TableUpdate

/** Holds the configurations with the times of their acknowledgement. */
internal class ConfigurationHistory {
    private val entries = ArrayList<HistoryEntry>()
    private var epoch = 1L

    fun write(state: DesiredState, nowMs: Long) {
        entries += HistoryEntry(epoch, (entries.lastOrNull()?.version ?: 0) + 1, state, nowMs)
    }

    /** Replaces the contents by a copy whose latest configuration is [state]. */
    fun restore(state: DesiredState, nowMs: Long) {
        epoch++
        entries += HistoryEntry(epoch, 1, state, nowMs)
    }

    /** Returns the update for an instance that knows the versions up to [after], as of [atMs]. */
    fun read(after: StoreVersion?, atMs: Long): Result<TableUpdate<OperatorOrder>, StoreError> {
        val latest = entries.last { it.writtenAtMs <= atMs }
        if (after != null && after.epoch != latest.epoch) return Err(StoreError.HISTORY_GONE)
        val rows = listOf(TableEntry<OperatorOrder>("config", latest.version, OperatorOrder.Desired(latest.state)))
        val changed = rows.filter { after == null || it.version > after.number }
        return Ok(TableUpdate(changed, latest.version, isWhole = after == null, latest.epoch))
    }

    /** Returns the time of the first change after [atMs], or null. */
    fun nextChangeAfter(atMs: Long): Long? = entries.firstOrNull { it.writtenAtMs > atMs }?.writtenAtMs

    private class HistoryEntry(val epoch: Long, val version: Long, val state: DesiredState, val writtenAtMs: Long)
}

/** The store as one instance sees it; [answer] returns the result of a question about the orders. */
internal class ScriptedStore(
    private val answer: (after: StoreVersion?) -> Result<TableUpdate<OperatorOrder>, StoreError>,
) : DeploymentStore {
    override val orders = object : StoreTable<OperatorOrder> {
        override fun read() = answer(null)

        override fun awaitChanges(afterVersion: StoreVersion, waitMs: Long) = answer(afterVersion)
    }

    override val servers = EmptyTable<ServerRecord>()

    override val instances = EmptyTable<InstanceRecord>()

    override fun register(record: InstanceRecord): Result<Unit, StoreError> = Ok(Unit)

    override fun unregister(record: InstanceRecord): Result<Unit, StoreError> = Ok(Unit)
}

internal class EmptyTable<T> : StoreTable<T> {
    override fun read(): Result<TableUpdate<T>, StoreError> = Ok(TableUpdate(emptyList(), 1, isWhole = true, 1))

    override fun awaitChanges(afterVersion: StoreVersion, waitMs: Long): Result<TableUpdate<T>, StoreError> =
        Ok(TableUpdate(emptyList(), 1, isWhole = false, 1))
}
