/*
 * Follows one table of the store on a thread of its own and hands changes on. When the store no longer has the history,
 * the table is read whole. While the store is away the watcher keeps what it knows and asks again. While another
 * instance follows the store for this one, the watcher only takes what that instance tells.
 */
package org.cardamomwharf.gateway.store

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.json.put
import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.startBackgroundTask
import org.cardamomwharf.steering.store.StoreError
import org.cardamomwharf.steering.store.StoreTable
import org.cardamomwharf.steering.store.TableChange
import org.cardamomwharf.steering.store.TableUpdate
import kotlin.random.Random

/** Longest wait for a change; a silent connection is noticed after it, within the users' stable window. */
private const val LONG_POLL_TIMEOUT_MS = 2_500L

/** Pause between two answers with changes, so that changes in quick succession share a call. */
private const val PAUSE_MS = 150L

/** First pause after a failed call; doubles up to the longest. */
private const val MIN_RETRY_DELAY_MS = 50L

/** Longest pause after failed calls; well below the bounds for changes in the settings. */
private const val MAX_RETRY_DELAY_MS = 800L

/** Pause between looks whether this instance has to follow the store; a small part of the bounds for changes. */
private const val ROLE_CHECK_INTERVAL_MS = 150L

internal class TableWatcher<T>(
    private val name: String,
    private val table: StoreTable<T>,
    tools: TaskContext,
    restoreGraceMs: Long,
    private val duty: WatcherRole,
    onChange: (List<TableChange<T>>) -> Unit,
) {
    private val clock = tools.clock
    private val log = tools.log
    private var isFullReadDue = true

    /** What is known of the table. */
    val known: SynchronizedTable<T> = SynchronizedTable(name, tools, restoreGraceMs, onChange)

    @Volatile
    private var failures = 0

    @Volatile
    private var lastResponseAtMs = Long.MIN_VALUE

    /** True when the latest call to the store failed. */
    val isFailing: Boolean get() = failures > 0

    /** Returns the time since the store last answered; very long before the first answer. */
    fun silentForMs(nowMs: Long): Long = if (lastResponseAtMs == Long.MIN_VALUE) Long.MAX_VALUE else nowMs - lastResponseAtMs

    fun start() {
        startBackgroundTask("watch-$name", log) {
            if (known.isKnown && !duty.isWatcher()) Thread.sleep(ROLE_CHECK_INTERVAL_MS) else readOnce()
            true
        }
    }

    private fun readOnce() {
        val result = if (isFullReadDue) table.read() else table.awaitChanges(known.version, LONG_POLL_TIMEOUT_MS)
        result.onSuccess { take(it) }.onFailure { fail(it) }
    }

    private fun take(reading: TableUpdate<T>) {
        lastResponseAtMs = clock.nowMs()
        if (failures > 0) recordRestored()
        isFullReadDue = !known.take(reading)
        if (isFullReadDue) logStale(reading)
        if (reading.entries.isNotEmpty()) Thread.sleep(PAUSE_MS)
    }

    private fun logStale(reading: TableUpdate<T>) = log.event("store-stale") {
        put("table", name)
        put("version", reading.version)
        put("known", known.version)
    }

    private fun recordRestored() {
        log.event("store-restored") {
            put("table", name)
            put("failures", failures)
        }
        failures = 0
        known.startGracePeriod()
    }

    private fun fail(error: StoreError) {
        if (error == StoreError.HISTORY_GONE) {
            log.event("store-history-gone") {
                put("table", name)
                put("version", known.version)
            }
            isFullReadDue = true
            return
        }
        if (failures++ == 0) {
            log.event("store-lost") {
                put("table", name)
                put("error", error.code)
                put("version", known.version)
            }
        }
        duty.onStoreUnavailable()
        val pauseMs = (MIN_RETRY_DELAY_MS shl minOf(failures, MAX_DOUBLINGS)).coerceAtMost(MAX_RETRY_DELAY_MS)
        Thread.sleep(pauseMs / 2 + Random.nextLong(pauseMs / 2 + 1))
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}
