/*
 * Keeps the buckets of this instance: its parts of the zone's shares, plus what it borrowed, less what it lent. All
 * charges of one request are made together or not at all.
 */
package org.cardamomwharf.decision.caps

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.cardamomwharf.core.InstanceName

private const val MS_PER_SECOND = 1_000L
private const val LARGEST_LENT_FRACTION = 4

/** Represents an amount to consume of one cap. */
public data class CapCost(public val cap: CapId, public val amount: Long)

/** Represents the cap shares of this instance. */
public data class CapLimiter(
    public val burstMs: Long,
    public val zoneShares: PersistentMap<CapId, Long> = persistentMapOf(),
    public val heldParts: Int = 0,
    public val buckets: PersistentMap<CapId, CapBucket> = persistentMapOf(),
    public val borrowed: PersistentList<Loan> = persistentListOf(),
    public val lent: PersistentList<Loan> = persistentListOf(),
) {
    /** Returns the units per second of [cap] that this instance may consume. */
    public fun getRate(cap: CapId): Long {
        val own = computeHeldRate(zoneShares[cap] ?: 0, heldParts)
        val more = borrowed.filter { it.cap == cap }.sumOf { it.unitsPerSecond }
        val less = lent.filter { it.cap == cap }.sumOf { it.unitsPerSecond }
        return (own + more - less).coerceAtLeast(0)
    }

    /** Returns the whole tokens of [cap] at [nowMs]. */
    public fun getAvailableUnits(cap: CapId, nowMs: Long): Long = buckets[cap]?.refill(nowMs)?.available ?: 0
}

/** Returns this limiter with shares from a document, parts from the ownership, and ended loans removed. */
public fun CapLimiter.update(shares: Map<CapId, Long>, parts: Int, nowMs: Long): CapLimiter {
    val next = copy(
        zoneShares = shares.toPersistentMap(),
        heldParts = parts,
        borrowed = borrowed.filter { nowMs < it.untilMs }.toPersistentList(),
        lent = lent.filter { nowMs < it.untilMs }.toPersistentList(),
    )
    return next.copy(buckets = shares.keys.associateWith { next.adjustBucket(it, nowMs) }.toPersistentMap())
}

private fun CapLimiter.adjustBucket(cap: CapId, nowMs: Long): CapBucket {
    val rate = getRate(cap)
    val burst = rate * burstMs / MS_PER_SECOND
    return buckets[cap]?.withRate(rate, burst, nowMs) ?: newCapBucket(rate, burst, nowMs)
}

/** Returns this limiter after all [charges], or null when one of them doesn't fit; a cap without a share fits none. */
public fun CapLimiter.consume(charges: List<CapCost>, nowMs: Long): CapLimiter? {
    val current = if (hasEndedLoan(nowMs)) update(zoneShares, heldParts, nowMs) else this
    val first: PersistentMap<CapId, CapBucket>? = current.buckets
    val spent = charges.fold(first) { buckets, charge -> buckets?.consume(charge, nowMs) }
    return spent?.let { current.copy(buckets = it) }
}

private fun PersistentMap<CapId, CapBucket>.consume(charge: CapCost, nowMs: Long): PersistentMap<CapId, CapBucket>? =
    get(charge.cap)?.refill(nowMs)?.consume(charge.amount)?.let { put(charge.cap, it) }

private fun CapLimiter.hasEndedLoan(nowMs: Long): Boolean = borrowed.any { nowMs >= it.untilMs }

/** Represents the limiter after a loan was considered, with the answer for the borrower. */
public data class LendingResult(public val limiter: CapLimiter, public val grant: LoanGrant)

/** Returns the answer to [request]: at most a quarter of the own rate, and only out of unused tokens. */
public fun CapLimiter.lend(request: LoanRequest, lender: InstanceName, nowMs: Long): LendingResult {
    val bucket = buckets[request.cap]?.refill(nowMs)
    val isIdle = bucket != null && bucket.available >= bucket.burst
    val most = if (isIdle) getRate(request.cap) / LARGEST_LENT_FRACTION else 0
    val units = minOf(most, request.unitsPerSecond).coerceAtLeast(0)
    val grant = LoanGrant(lender, request.cap, units, request.askedAtMs)
    if (units == 0L) return LendingResult(this, grant)
    val loan = Loan(request.cap, units, nowMs + LOAN_DURATION_MS + LOAN_GUARD_MS)
    return LendingResult(copy(lent = lent.add(loan)).update(zoneShares, heldParts, nowMs), grant)
}

/** Returns this limiter after a grant; the loan ends [LOAN_DURATION_MS] after it was asked for. */
public fun CapLimiter.borrow(grant: LoanGrant, nowMs: Long): CapLimiter {
    val untilMs = grant.askedAtMs + LOAN_DURATION_MS
    if (grant.unitsPerSecond <= 0 || nowMs >= untilMs) return this
    val loan = Loan(grant.cap, grant.unitsPerSecond, untilMs)
    return copy(borrowed = borrowed.add(loan)).update(zoneShares, heldParts, nowMs)
}
