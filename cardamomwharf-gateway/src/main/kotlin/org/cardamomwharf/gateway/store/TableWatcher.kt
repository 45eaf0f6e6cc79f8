/*
 * Follows one table of the store on a thread of its own and hands changes on. When the store no longer has the history,
 * the table is read whole. While the store is away the watcher keeps what it knows and asks again.
 */
package org.cardamomwharf.gateway.store

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.json.put
import org.cardamomwharf.gateway.WatchTools
import org.cardamomwharf.steering.belief.StoreError
import org.cardamomwharf.steering.belief.StoreTable
import org.cardamomwharf.steering.belief.TableBelief
import org.cardamomwharf.steering.belief.TableChange
import org.cardamomwharf.steering.belief.TableReading
import kotlin.random.Random

/** Longest wait for a change; a silent connection is noticed after it, within the users' stable window. */
private const val WAIT_MS = 2_500L

/** Pause between two answers with changes, so that changes in quick succession share a call. */
private const val PAUSE_MS = 150L

/** First pause after a failed call; doubles up to the longest. */
private const val FIRST_RETRY_MS = 50L

/** Longest pause after failed calls; well below the bounds for changes in the settings. */
private const val LONGEST_RETRY_MS = 400L

/** Pause between looks at entries whose grace period may be over. */
private const val LOOK_MS = 200L

internal class TableWatcher<T>(
    private val name: String,
    private val table: StoreTable<T>,
    tools: WatchTools,
    restoreGraceMs: Long,
    private val onChange: (List<TableChange<T>>) -> Unit,
    private val onAway: () -> Unit,
) {
    private val clock = tools.clock
    private val log = tools.log
    private val belief = TableBelief<T>(restoreGraceMs)
    private var failures = 0
    private var isWholeDue = true

    @Volatile
    var isKnown = false
        private set

    /** Newest version of the store that is known here. */
    val version: Long get() = synchronized(belief) { belief.version }

    /** Returns what is known when it is newer than [version], or null. */
    fun readingAfter(version: Long): TableReading<T>? =
        synchronized(belief) { if (isKnown && belief.version > version) belief.toReading() else null }

    /** Takes what another instance knows. */
    fun takeFromPeer(reading: TableReading<T>) {
        publish(synchronized(belief) { belief.apply(reading, clock.nowMs()) })
        isKnown = true
    }

    fun start() {
        Thread(::run, "watch-$name").apply { isDaemon = true }.start()
    }

    /** Removes entries whose grace period is over; due a few times a second. */
    fun expire() = publish(synchronized(belief) { belief.expire(clock.nowMs()) })

    private fun run() {
        while (true) {
            val result = if (isWholeDue) table.read() else table.follow(belief.version, WAIT_MS)
            result.onSuccess { take(it) }.onFailure { fail(it) }
        }
    }

    private fun take(reading: TableReading<T>) {
        if (failures > 0) noteRestored()
        isWholeDue = synchronized(belief) { belief.isStale(reading) }
        publish(synchronized(belief) { belief.apply(reading, clock.nowMs()) })
        isKnown = true
        if (isWholeDue) noteStale(reading)
        if (reading.entries.isNotEmpty()) Thread.sleep(PAUSE_MS)
    }

    private fun noteStale(reading: TableReading<T>) = log.event("store-stale") {
        put("table", name)
        put("version", reading.version)
        put("known", version)
    }

    private fun noteRestored() {
        log.event("store-restored") {
            put("table", name)
            put("failures", failures)
        }
        failures = 0
        if (isKnown) synchronized(belief) { belief.noteRestored(clock.nowMs()) }
    }

    private fun fail(error: StoreError) {
        if (error == StoreError.HISTORY_GONE) {
            log.event("store-history-gone") {
                put("table", name)
                put("version", belief.version)
            }
            isWholeDue = true
            return
        }
        if (failures++ == 0) {
            log.event("store-lost") {
                put("table", name)
                put("error", error.code)
                put("version", belief.version)
            }
        }
        onAway()
        val pauseMs = (FIRST_RETRY_MS shl minOf(failures, MOST_DOUBLINGS)).coerceAtMost(LONGEST_RETRY_MS)
        Thread.sleep(pauseMs / 2 + Random.nextLong(pauseMs / 2 + 1))
    }

    private fun publish(changes: List<TableChange<T>>) {
        if (changes.isEmpty()) return
        changes.forEach { change ->
            log.event("belief") {
                put("table", name)
                put("key", change.key)
                put("version", change.version)
                put("before", change.before?.toString()?.take(LONGEST_TEXT))
                put("after", change.after?.toString()?.take(LONGEST_TEXT))
            }
        }
        onChange(changes)
    }

    companion object {
        /** Pause between two calls of [expire]. */
        const val EXPIRE_EVERY_MS: Long = LOOK_MS
        private const val MOST_DOUBLINGS = 4
        private const val LONGEST_TEXT = 300
    }
}
