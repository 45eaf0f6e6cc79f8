/*
 * The thread that has old claim rows deleted by the table service.
 */
package org.cardamomwharf.entry.claims

import com.github.michaelbull.result.get
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.repository.ClaimTable
import java.util.concurrent.ArrayBlockingQueue

/** Represents the thread that deletes old claim rows. */
public class ClaimExpirer(
    private val table: ClaimTable,
    private val ring: EventRing,
    private val metrics: EntryMetrics,
) {
    private val calls = ArrayBlockingQueue<EntryEffect.ExpireClaims>(1)

    /** Starts the thread. */
    public fun start() {
        val thread = Thread({ while (!Thread.interrupted()) expire(calls.take()) }, "claims-expiry")
        thread.isDaemon = true
        thread.start()
    }

    /** Takes [effect]; one that comes while another is under way is dropped, as it would ask for the same. */
    public fun take(effect: EntryEffect.ExpireClaims) {
        calls.offer(effect)
    }

    private fun expire(effect: EntryEffect.ExpireClaims) {
        val rows = table.expire(effect.unwrittenForSeconds, effect.limit).get()
        if (rows != null) metrics.countExpired(rows)
        ring.put(EntryEvent.ClaimsExpired(rows))
    }
}
