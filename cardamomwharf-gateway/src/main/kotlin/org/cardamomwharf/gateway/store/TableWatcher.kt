/*
 * Watches one table of the store on a thread of its own and publishes the changes. When the store no longer has the
 * history, the whole table is read. While the store is unavailable the watcher keeps the cached state and retries.
 * While another instance watches the store for this one, the watcher only receives the changes from that instance.
 */
package org.cardamomwharf.gateway.store

import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.json.put
import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.store.RestorePolicy
import org.cardamomwharf.steering.store.StoreError
import org.cardamomwharf.steering.store.StoreTable
import org.cardamomwharf.steering.store.TableChange
import org.cardamomwharf.steering.store.TableUpdate
import kotlin.random.Random

/** Timeout of a long poll; bounds the time until a dead connection is noticed, within the required stable window. */
private const val LONG_POLL_TIMEOUT_MS = 2_500L

/** Delay after a response with changes, so that changes in quick succession share a call. */
private const val BATCH_DELAY_MS = 150L

/** Base of the retry delay, which doubles with each failed call up to the maximum. */
private const val BASE_RETRY_DELAY_MS = 50L

/** Maximum retry delay; well below the bounds for changes in the settings. */
private const val MAX_RETRY_DELAY_MS = 800L

/** Interval of checks whether this instance has to watch the store; a small part of the bounds for changes. */
private const val ROLE_CHECK_INTERVAL_MS = 150L

internal class TableWatcher<T>(
    private val name: String,
    private val storeTable: StoreTable<T>,
    context: TaskContext,
    restorePolicy: RestorePolicy<T>,
    private val role: WatcherRole,
    onChange: (List<TableChange<T>>) -> Unit,
) {
    private val clock = context.clock
    private val log = context.log
    private var isFullReadDue = true

    /** Epoch of the latest response, or null before the first one. */
    private var epoch: Long? = null

    /** The cached table. */
    val table: SynchronizedTable<T> = SynchronizedTable(name, context, restorePolicy, onChange)

    @Volatile
    private var failures = 0

    @Volatile
    private var lastResponseAtMs = Long.MIN_VALUE

    /** True when the latest call to the store failed. */
    val isFailing: Boolean get() = failures > 0

    /** Returns the time since the last response of the store, or Long.MAX_VALUE before the first one. */
    fun silentForMs(nowMs: Long): Long =
        if (lastResponseAtMs == Long.MIN_VALUE) Long.MAX_VALUE else nowMs - lastResponseAtMs

    fun start() {
        startBackgroundTask("watch-$name", log) {
            Thread.sleep(step())
            true
        }
    }

    /** Makes one call to the store if this instance has to, and returns the time until the next step. */
    fun step(): Long = if (isAsking) readOnce() else ROLE_CHECK_INTERVAL_MS

    /** True when this instance has to ask the store itself. */
    val isAsking: Boolean get() = !table.isLoaded || role.isWatcher()

    /** Time that the next call waits for changes. */
    val waitMs: Long get() = if (isFullReadDue) 0 else role.limitWait(LONG_POLL_TIMEOUT_MS)

    private fun readOnce(): Long {
        val askedAtMs = clock.nowMs()
        val result = if (isFullReadDue) storeTable.read() else storeTable.awaitChanges(table.version, waitMs)
        return result.mapBoth({ applyUpdate(it, askedAtMs) }, { handleFailure(it) })
    }

    private fun applyUpdate(update: TableUpdate<T>, askedAtMs: Long): Long {
        lastResponseAtMs = clock.nowMs()
        logEpoch(update)
        if (failures > 0) recordRestored()
        isFullReadDue = !table.apply(update)
        if (isFullReadDue) logStale(update) else role.onAnswerApplied(askedAtMs)
        return if (update.entries.isNotEmpty()) BATCH_DELAY_MS else 0
    }

    private fun logEpoch(update: TableUpdate<T>) {
        if (update.epoch == epoch) return
        log.event("store-epoch") {
            put("table", name)
            put("before", epoch)
            put("after", update.epoch)
            put("version", update.version)
            put("known", table.version.number)
        }
        epoch = update.epoch
    }

    private fun logStale(update: TableUpdate<T>) = log.event("store-stale") {
        put("table", name)
        put("version", update.version)
        put("known", table.version.number)
    }

    private fun recordRestored() {
        log.event("store-restored") {
            put("table", name)
            put("failures", failures)
        }
        failures = 0
        table.startGracePeriod()
    }

    private fun handleFailure(error: StoreError): Long {
        if (error == StoreError.HISTORY_GONE) {
            log.event("store-history-gone") {
                put("table", name)
                put("version", table.version.number)
            }
            isFullReadDue = true
            return 0
        }
        if (failures++ == 0) {
            log.event("store-lost") {
                put("table", name)
                put("error", error.code)
                put("version", table.version.number)
            }
        }
        role.onStoreUnavailable()
        val delayMs = (BASE_RETRY_DELAY_MS shl minOf(failures, MAX_DOUBLINGS)).coerceAtMost(MAX_RETRY_DELAY_MS)
        return delayMs / 2 + Random.nextLong(delayMs / 2 + 1)
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}
