/*
 * The requests that are blocked because they crashed several backend servers. When a block ends, one instance after the
 * other may try the request: an answer lifts the block for all, and another crash renews it for ten times as long.
 */
package org.cardamomwharf.steering.crashes

/** Time for which a request is blocked the first time; callers have given up by then. */
private const val FIRST_BLOCK_MS = 60_000L

/** Factor between the times of successive blocks. */
private const val BLOCK_FACTOR = 10

/** Failures after which blocks last no longer: about 17 hours. */
private const val MAX_FAILURES = 4

/** Time between the tries of two instances after a block; longer than most requests and the notice of the result. */
private const val TRY_INTERVAL_MS = 2_000L

/** Time after which a try whose result is unknown no longer prevents another one; the longest deadline of the users. */
private const val TRY_TIMEOUT_MS = 30_000L

/** Time for which regular messages tell that a block is lifted; several heartbeats. */
private const val TELL_LIFTED_MS = 5_000L

/** Maximum number of requests that are blocked or were; about 100 KB. */
private const val MAX_BLOCKS = 1_024

/** Keeps the blocked requests by fingerprint. */
internal class RequestBlocks {
    private val blocks = BoundedMap<Long, Block>(MAX_BLOCKS)

    /** Number of requests that are kept. */
    val size: Int get() = blocks.size

    /** Returns true when the request is blocked, also when the block has ended and no try was answered yet. */
    fun isBlocked(fingerprint: Long): Boolean = blocks[fingerprint]?.isLifted == false

    /**
     * Returns the time until this instance may send the request, or 0 when it may send it now.
     *
     * @param rank place of this instance in the order in which instances try the request.
     */
    fun remainingMs(fingerprint: Long, rank: Int, nowMs: Long): Long {
        val block = blocks[fingerprint]?.takeUnless { it.isLifted } ?: return 0
        val ownTurnAtMs = block.endsAtMs + rank * TRY_INTERVAL_MS
        val isTrying = block.triedAtMs != null && nowMs - block.triedAtMs < TRY_TIMEOUT_MS
        return if (isTrying) TRY_INTERVAL_MS else (ownTurnAtMs - nowMs).coerceAtLeast(0)
    }

    /** Records that this instance sends the request after its block has ended. */
    fun recordTry(fingerprint: Long, nowMs: Long) {
        blocks.computeIfPresent(fingerprint) { _, block -> block.copy(triedAtMs = nowMs) }
    }

    /** Returns true when a crash under the request is the result of a try, not of a request sent before the block. */
    fun isTryFailed(fingerprint: Long, nowMs: Long): Boolean =
        blocks[fingerprint]?.let { !it.isLifted && nowMs >= it.endsAtMs } == true

    /** Blocks the request, for longer than the last time, and returns the notice for other instances. */
    fun block(fingerprint: Long, nowMs: Long): BlockNotice {
        val before = blocks[fingerprint]
        val failures = (before?.failures ?: 0) + 1
        var durationMs = FIRST_BLOCK_MS
        repeat(failures.coerceAtMost(MAX_FAILURES) - 1) { durationMs *= BLOCK_FACTOR }
        blocks[fingerprint] = Block((before?.serial ?: 0) + 1, failures, nowMs + durationMs, isLifted = false)
        return noticeOf(fingerprint, nowMs)
    }

    /** Lifts the block and returns the notice for other instances, or null when the request isn't blocked. */
    fun lift(fingerprint: Long, nowMs: Long): BlockNotice? {
        val before = blocks[fingerprint]?.takeUnless { it.isLifted } ?: return null
        blocks[fingerprint] = Block(before.serial + 1, failures = 0, nowMs, isLifted = true)
        return noticeOf(fingerprint, nowMs)
    }

    /** Applies [notice] of another instance; returns true when it changes the state of the request. */
    fun receive(notice: BlockNotice, nowMs: Long): Boolean {
        val known = blocks[notice.fingerprint]
        if (known != null && known.serial >= notice.serial) return false
        val endsAtMs = nowMs + notice.remainingMs.coerceAtLeast(0)
        blocks[notice.fingerprint] = Block(notice.serial, notice.failures, endsAtMs, notice.isLifted)
        return true
    }

    /** Returns the notices of up to [count] requests that are blocked, or were until a few seconds ago. */
    fun latest(count: Int, nowMs: Long): List<BlockNotice> =
        blocks.filterValues { !it.isLifted || nowMs - it.endsAtMs < TELL_LIFTED_MS }.keys.toList().takeLast(count)
            .map { noticeOf(it, nowMs) }

    private fun noticeOf(fingerprint: Long, nowMs: Long): BlockNotice = blocks.getValue(fingerprint).let {
        BlockNotice(fingerprint, it.serial, it.failures, (it.endsAtMs - nowMs).coerceAtLeast(0), it.isLifted)
    }

    private data class Block(
        val serial: Int,
        val failures: Int,
        val endsAtMs: Long,
        val isLifted: Boolean,
        val triedAtMs: Long? = null,
    )
}
