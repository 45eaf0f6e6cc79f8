/*
 * Background thread that makes the table service delete old claim rows.
 */
package org.cardamomwharf.entry.claims

import com.github.michaelbull.result.get
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.repository.ClaimTable
import java.util.concurrent.ArrayBlockingQueue

/** Deletes old claim rows on a background thread. */
public class ClaimExpirer(
    private val table: ClaimTable,
    private val eventQueue: EventQueue,
    private val metrics: EntryMetrics,
) {
    private val effects = ArrayBlockingQueue<EntryEffect.ExpireClaims>(1)

    /** Starts the thread. */
    public fun start() {
        val thread = Thread({ while (!Thread.interrupted()) expire(effects.take()) }, "claims-expiry")
        thread.isDaemon = true
        thread.start()
    }

    /** Enqueues [effect], or drops it if one is already queued, since both would delete the same rows. */
    public fun submit(effect: EntryEffect.ExpireClaims) {
        effects.offer(effect)
    }

    private fun expire(effect: EntryEffect.ExpireClaims) {
        val rows = table.expire(effect.unwrittenForSeconds, effect.limit).get()
        if (rows != null) metrics.countExpired(rows)
        eventQueue.put(EntryEvent.ClaimsExpired(rows))
    }
}
