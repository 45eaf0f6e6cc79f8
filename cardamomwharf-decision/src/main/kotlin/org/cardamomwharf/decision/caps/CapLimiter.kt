/*
 * Limits the use of caps by one instance: its parts of the zone's shares, plus what it borrowed, less what it lent. The
 * costs of one request are consumed all together or not at all.
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
private const val LENT_FRACTION_DIVISOR = 4

/** Represents an amount to consume from one cap. */
public data class CapCost(public val cap: CapId, public val amount: Long)

/**
 * Represents the rate limiter of an instance for all caps.
 *
 * @param zoneShares units per second of each cap that the zone may use.
 * @param heldParts parts of the zone's shares that this instance owns.
 */
public data class CapLimiter(
    public val burstMs: Long,
    public val zoneShares: PersistentMap<CapId, Long> = persistentMapOf(),
    public val heldParts: Int = 0,
    public val buckets: PersistentMap<CapId, CapBucket> = persistentMapOf(),
    public val borrowed: PersistentList<Loan> = persistentListOf(),
    public val lent: PersistentList<Loan> = persistentListOf(),
) {
    /** Returns the units per second of [cap] that this instance may use. */
    public fun getRate(cap: CapId): Long {
        val ownedRate = computeHeldRate(zoneShares[cap] ?: 0, heldParts)
        val borrowedRate = borrowed.filter { it.cap == cap }.sumOf { it.unitsPerSecond }
        val lentRate = lent.filter { it.cap == cap }.sumOf { it.unitsPerSecond }
        return (ownedRate + borrowedRate - lentRate).coerceAtLeast(0)
    }

    /** Returns the units of [cap] that can be consumed at [nowMs]. */
    public fun getAvailableUnits(cap: CapId, nowMs: Long): Long = buckets[cap]?.refill(nowMs)?.available ?: 0
}

/** Returns this limiter with the shares of the document, the owned parts, and without loans that have ended. */
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

/** Consumes all [costs]; returns null when one exceeds the available units or its cap has no share. */
public fun CapLimiter.consume(costs: List<CapCost>, nowMs: Long): CapLimiter? {
    val limiter = if (hasEndedLoan(nowMs)) update(zoneShares, heldParts, nowMs) else this
    val first: PersistentMap<CapId, CapBucket>? = limiter.buckets
    val buckets = costs.fold(first) { current, cost -> current?.consume(cost, nowMs) }
    return buckets?.let { limiter.copy(buckets = it) }
}

private fun PersistentMap<CapId, CapBucket>.consume(cost: CapCost, nowMs: Long): PersistentMap<CapId, CapBucket>? =
    get(cost.cap)?.refill(nowMs)?.consume(cost.amount)?.let { put(cost.cap, it) }

private fun CapLimiter.hasEndedLoan(nowMs: Long): Boolean = borrowed.any { nowMs >= it.untilMs }

/** Represents the limiter after a loan request, with the reply to the borrower. */
public data class LendingResult(public val limiter: CapLimiter, public val grant: LoanGrant)

/** Grants [request] up to a quarter of the own rate, and only while the bucket is full. */
public fun CapLimiter.lend(request: LoanRequest, lender: InstanceName, nowMs: Long): LendingResult {
    val bucket = buckets[request.cap]?.refill(nowMs)
    val isIdle = bucket != null && bucket.available >= bucket.burst
    val maxUnits = if (isIdle) getRate(request.cap) / LENT_FRACTION_DIVISOR else 0
    val units = minOf(maxUnits, request.unitsPerSecond).coerceAtLeast(0)
    val grant = LoanGrant(lender, request.cap, units, request.askedAtMs)
    if (units == 0L) return LendingResult(this, grant)
    val loan = Loan(request.cap, units, nowMs + LOAN_DURATION_MS + LOAN_GUARD_MS)
    return LendingResult(copy(lent = lent.add(loan)).update(zoneShares, heldParts, nowMs), grant)
}

/** Adds the granted loan, which ends [LOAN_DURATION_MS] after it was requested. */
public fun CapLimiter.borrow(grant: LoanGrant, nowMs: Long): CapLimiter {
    val untilMs = grant.askedAtMs + LOAN_DURATION_MS
    if (grant.unitsPerSecond <= 0 || nowMs >= untilMs) return this
    val loan = Loan(grant.cap, grant.unitsPerSecond, untilMs)
    return copy(borrowed = borrowed.add(loan)).update(zoneShares, heldParts, nowMs)
}
