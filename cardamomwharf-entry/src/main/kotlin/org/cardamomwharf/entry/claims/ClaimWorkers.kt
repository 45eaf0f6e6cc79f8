/*
 * The threads that wait for the table service. Each has a bounded ring; a claim that finds no room is answered as
 * unavailable at once. Final states are written again until they are in or have been tried long enough.
 */
package org.cardamomwharf.entry.claims

import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.ClaimRow
import org.cardamomwharf.decision.claims.ClaimState
import org.cardamomwharf.entry.loop.EventRing
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val WORKERS = 16
private const val RING_CAPACITY = 64
private const val SETTLE_CAPACITY = 4_096
private const val SETTLE_WORKERS = 4
private const val SETTLE_PAUSE_MS = 500L
private const val LARGEST_SETTLE_TRIES = 120

/** Represents the threads that make calls about claims. */
public class ClaimWorkers(private val keeper: ClaimKeeper, private val ring: EventRing) {
    private val calls = ArrayBlockingQueue<EntryEffect.ClaimEffect>(WORKERS * RING_CAPACITY)
    private val settlements = ArrayBlockingQueue<Settlement>(SETTLE_CAPACITY)
    private val open = AtomicInteger()

    /** The number of final states that are not in the table service yet. */
    public val unsettled: Int get() = open.get()

    /** Starts the threads. */
    public fun start() {
        repeat(WORKERS) { startThread("claims-$it") { call(calls.take()) } }
        repeat(SETTLE_WORKERS) { startThread("settling-$it") { settle(settlements.take()) } }
    }

    /** Takes [effect]. */
    public fun take(effect: EntryEffect.ClaimEffect) {
        val row = finalRowOf(effect)
        if (row != null) {
            open.incrementAndGet()
            if (!settlements.offer(Settlement(effect, row))) open.decrementAndGet()
        } else if (!calls.offer(effect)) {
            report(effect.request, ClaimReply.Unavailable)
        }
    }

    private fun finalRowOf(effect: EntryEffect.ClaimEffect): ClaimRow? = when (effect) {
        is EntryEffect.ReleaseClaim -> ClaimRow(effect.attempt, effect.fingerprint, ClaimState.RELEASED)
        is EntryEffect.RecordResponse -> ClaimRow(effect.attempt, effect.fingerprint, ClaimState.DONE, effect.response)
        else -> null
    }

    private fun call(effect: EntryEffect.ClaimEffect) {
        val reply = when (effect) {
            is EntryEffect.InsertClaim -> keeper.insert(effect)
            is EntryEffect.ReadClaim -> keeper.read(effect)
            is EntryEffect.ReplaceClaim -> keeper.replace(effect)
            is EntryEffect.ReleaseClaim, is EntryEffect.RecordResponse -> ClaimReply.Lost
        }
        report(effect.request, reply)
    }

    private fun report(request: RequestId, reply: ClaimReply) {
        ring.put(EntryEvent.ClaimReplyReceived(request, reply))
    }

    private fun settle(settlement: Settlement) {
        val isDone = keeper.settle(settlement.effect, settlement.row)
        if (isDone || settlement.tries >= LARGEST_SETTLE_TRIES) {
            open.decrementAndGet()
            return
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_PAUSE_MS)
        val again = settlement.copy(tries = settlement.tries + 1)
        if (!settlements.offer(again)) open.decrementAndGet()
    }

    private fun startThread(name: String, work: () -> Unit) {
        val thread = Thread({ while (!Thread.interrupted()) work() }, name)
        thread.isDaemon = true
        thread.start()
    }

    private data class Settlement(
        val effect: EntryEffect.ClaimEffect,
        val row: ClaimRow,
        val tries: Int = 0,
    )
}
