/*
 * Worker threads for calls to the table service. The queues are bounded: if the call queue is full, a claim gets the
 * reply `Unavailable` at once. Writes of final states are retried up to a maximum number of attempts.
 */
package org.cardamomwharf.entry.claims

import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.ClaimRow
import org.cardamomwharf.decision.claims.ClaimState
import org.cardamomwharf.entry.loop.EventQueue
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val WORKER_COUNT = 16
private const val QUEUE_CAPACITY_PER_WORKER = 64
private const val FINAL_WRITE_QUEUE_CAPACITY = 4_096
private const val FINAL_WRITE_WORKER_COUNT = 4
private const val FINAL_WRITE_RETRY_DELAY_MS = 500L
private const val MAX_FINAL_WRITE_ATTEMPTS = 120

/** Executes claim effects on worker threads. */
public class ClaimWorkers(private val claimClient: ClaimClient, private val eventQueue: EventQueue) {
    private val callQueue = ArrayBlockingQueue<EntryEffect.ClaimEffect>(WORKER_COUNT * QUEUE_CAPACITY_PER_WORKER)
    private val finalWriteQueue = ArrayBlockingQueue<FinalWrite>(FINAL_WRITE_QUEUE_CAPACITY)
    private val pendingCount = AtomicInteger()

    /** The number of final states that have not been written to the table service yet. */
    public val pendingFinalWriteCount: Int get() = pendingCount.get()

    /** Starts the worker threads. */
    public fun start() {
        repeat(WORKER_COUNT) { startThread("claims-$it") { call(callQueue.take()) } }
        repeat(FINAL_WRITE_WORKER_COUNT) { startThread("settling-$it") { writeFinalState(finalWriteQueue.take()) } }
    }

    /** Enqueues [effect] for a worker thread. */
    public fun submit(effect: EntryEffect.ClaimEffect) {
        val row = createFinalRow(effect)
        if (row != null) {
            pendingCount.incrementAndGet()
            if (!finalWriteQueue.offer(FinalWrite(effect, row))) pendingCount.decrementAndGet()
        } else if (!callQueue.offer(effect)) {
            report(effect.request, ClaimReply.Unavailable)
        }
    }

    private fun createFinalRow(effect: EntryEffect.ClaimEffect): ClaimRow? = when (effect) {
        is EntryEffect.ReleaseClaim -> ClaimRow(effect.attempt, effect.fingerprint, ClaimState.RELEASED)
        is EntryEffect.RecordResponse -> ClaimRow(effect.attempt, effect.fingerprint, ClaimState.DONE, effect.response)
        else -> null
    }

    private fun call(effect: EntryEffect.ClaimEffect) {
        val reply = when (effect) {
            is EntryEffect.InsertClaim -> claimClient.insert(effect)
            is EntryEffect.ReadClaim -> claimClient.read(effect)
            is EntryEffect.ReplaceClaim -> claimClient.replace(effect)
            is EntryEffect.ReleaseClaim, is EntryEffect.RecordResponse -> ClaimReply.Lost
        }
        report(effect.request, reply)
    }

    private fun report(request: RequestId, reply: ClaimReply) {
        eventQueue.put(EntryEvent.ClaimReplyReceived(request, reply))
    }

    private fun writeFinalState(finalWrite: FinalWrite) {
        val isComplete = claimClient.writeFinalState(finalWrite.effect, finalWrite.row)
        if (isComplete || finalWrite.attempts >= MAX_FINAL_WRITE_ATTEMPTS) {
            pendingCount.decrementAndGet()
            return
        }
        TimeUnit.MILLISECONDS.sleep(FINAL_WRITE_RETRY_DELAY_MS)
        val retry = finalWrite.copy(attempts = finalWrite.attempts + 1)
        if (!finalWriteQueue.offer(retry)) pendingCount.decrementAndGet()
    }

    private fun startThread(name: String, work: () -> Unit) {
        val thread = Thread({ while (!Thread.interrupted()) work() }, name)
        thread.isDaemon = true
        thread.start()
    }

    private data class FinalWrite(
        val effect: EntryEffect.ClaimEffect,
        val row: ClaimRow,
        val attempts: Int = 0,
    )
}
