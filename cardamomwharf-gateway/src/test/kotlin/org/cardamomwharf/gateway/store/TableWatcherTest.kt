/*
 * Tests the watcher of a table whose store loses its history, returns outdated updates or is unavailable.
 */
package org.cardamomwharf.gateway.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.gateway.TaskContext
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.steering.store.RestorePolicy
import org.cardamomwharf.steering.store.StoreError
import org.cardamomwharf.steering.store.StoreTable
import org.cardamomwharf.steering.store.StoreVersion
import org.cardamomwharf.steering.store.TableEntry
import org.cardamomwharf.steering.store.TableUpdate
import java.util.concurrent.BlockingQueue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val TIMEOUT_S = 30L

/** Returns scripted results for reads and long polls; blocks when a script has run out. */
private class ScriptedTable(
    reads: List<Result<TableUpdate<String>, StoreError>>,
    waits: List<Result<TableUpdate<String>, StoreError>>,
) : StoreTable<String> {
    private val reads = LinkedBlockingQueue(reads)
    private val waits = LinkedBlockingQueue(waits)

    override fun read(): Result<TableUpdate<String>, StoreError> = reads.take()

    override fun awaitChanges(afterVersion: StoreVersion, waitMs: Long): Result<TableUpdate<String>, StoreError> =
        waits.take()
}

class TableWatcherTest : FunSpec({
    val clock = monotonicClock()

    fun whole(version: Long, value: String) =
        Ok(TableUpdate(listOf(TableEntry("a", version, value)), version, isWhole = true))

    fun watch(table: StoreTable<String>, whenUnavailable: () -> Unit = {}): BlockingQueue<String> {
        val seen = LinkedBlockingQueue<String>()
        val context = TaskContext(clock, DecisionLog(clock))
        val role = object : WatcherRole {
            override fun isWatcher(): Boolean = true

            override fun onStoreUnavailable() = whenUnavailable()
        }
        TableWatcher("test", table, context, RestorePolicy(0, 0, 0) { _, next -> next }, role) { changes ->
            changes.forEach { seen.add("${it.after}") }
        }.start()
        return seen
    }

    fun BlockingQueue<String>.next() = poll(TIMEOUT_S, TimeUnit.SECONDS)

    test("`a table is read again until the update isn't older than the cached state`") {
        val quiet = Ok(TableUpdate(emptyList<TableEntry<String>>(), 9, isWhole = false))
        val table = ScriptedTable(
            reads = listOf(whole(1, "first"), whole(4, "old"), whole(5, "old"), whole(10, "newest")),
            waits = listOf(quiet, Err(StoreError.HISTORY_GONE)),
        )
        val seen = watch(table)
        seen.next() shouldBe "first"
        seen.next() shouldBe "newest"
    }

    test("`while the store is unavailable another instance is queried, and the table is read once it is available`") {
        val peerQueries = LinkedBlockingQueue<Unit>()
        val table = ScriptedTable(
            reads = listOf(Err(StoreError.TIMEOUT), Err(StoreError.REFUSED), whole(3, "back")),
            waits = emptyList(),
        )
        val seen = watch(table) { peerQueries.add(Unit) }
        seen.next() shouldBe "back"
        peerQueries.size shouldBe 2
    }
})
