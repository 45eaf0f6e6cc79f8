/*
 * The part of a team's limit that this instance uses. All instances follow the same known sums: a level that the limit
 * fills and the sent requests drain, as in a token bucket, gives the rate at which all instances together may send, and
 * each sends the same fraction of what it is asked. So an instance that sees one request in a minute needs no tokens in
 * advance. A local bucket bounds what this instance sends before others can know of it.
 */
package org.cardamomwharf.steering.teams.limits

import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.steering.desired.TeamLimit
import kotlin.math.exp

/** Requests per second that aren't reserved for others; all sides of a divided fleet may send them. */
private const val UNRESERVED_PER_SECOND = 1.0

/** Time in which the level is used up. */
private const val USE_TIME_S = 2.0

/** Time in which a negative level is restored; about the time until others know what was sent. */
private const val RESTORE_TIME_S = 1.0

/** Time at the rate of the limit to which the level may fall. */
private const val MAX_DEBT_S = 4.0

/** Part of the burst that the level holds; the rest is sent before the others know of it. */
private const val LEVEL_PART = 0.4

/** Requests that the level holds besides; random arrivals of a small team come together. */
private const val LEVEL_MARGIN = 12.0

/** Time constant of the requests that are asked; a rise beyond chance counts at once. */
private const val ASKED_MS = 1_000.0

/** Weight of a count that shows a rise; the interval that it covers began before the rise. */
private const val RISE_WEIGHT = 1.5

/** Level of a process that has just started and doesn't know what was sent before. */
private const val INITIAL_LEVEL = 4.0

/** Rate of the local bucket as a multiple of the usual part; a zone that takes over another one's callers needs two. */
private const val LOCAL_FACTOR = 1.5

/** Time at its rate that the local bucket holds, so that a shift of callers between zones fits in until it is known. */
private const val LOCAL_BURST_S = 0.5

/** Tokens that the local bucket holds at least; random arrivals of a small team come together. */
private const val LOCAL_TOKENS = 6.0

/** Minimum rate of the local bucket; a small team's callers may all come to one instance. */
private const val MIN_TOKENS_PER_SECOND = 0.1

/** Tokens of a process that has just started. */
private const val INITIAL_TOKENS = 3.0

/** Number of updates after which a higher own part is used; the others know of it by then. */
private const val RISE_UPDATES = 3

/** Interval at which own parts are recorded. */
private const val RISE_INTERVAL_MS = 500L

/** Shortest and longest delay after which a caller is told to come back, and how far delays are spread. */
private const val MIN_RETRY_AFTER_MS = 200.0
private const val MAX_RETRY_AFTER_MS = 5_000.0
private const val SPREAD_MS = 1_000.0
private const val MS_PER_S = 1_000.0

internal class TeamShare(val teamId: Int, var limit: TeamLimit, phase: Double) {
    private val recentParts = ArrayDeque<Double>()
    private var partAtMs = Long.MIN_VALUE / 2
    private var credit = phase
    private var level = INITIAL_LEVEL
    private var levelAtMs = Long.MIN_VALUE / 2
    private var sentPerSecond = 0.0
    private var tokens = INITIAL_TOKENS
    private var tokensPerSecond = 0.0
    private var tokensAtMs = Long.MIN_VALUE / 2

    /** Requests at this instance. */
    val counter = DemandCounter()

    /** Fraction of the requests that may be sent. */
    var fraction = 1.0
        private set

    /** Requests that all instances within reach are asked. */
    var askedPerSecond = 0.0
        private set

    /** Time at which the requests last began to be limited. */
    var limitedAtMs = Long.MIN_VALUE / 2
        private set

    /** Takes a token and returns true, or returns false when the limit is used up. */
    fun tryAcquire(nowMs: Long): Boolean {
        refill(nowMs)
        val hasCredit = fraction >= 1 || credit + fraction >= 1
        val isSent = tokens >= 1 && hasCredit
        if (isSent) tokens--
        if (fraction < 1 && isSent == hasCredit) credit += if (isSent) fraction - 1 else fraction
        counter.record(isSent, nowMs)
        return isSent
    }

    /** Gives a token back for a request that didn't run. */
    fun giveBack(nowMs: Long) {
        tokens++
        counter.recordReturned(nowMs)
    }

    /** Returns the time after which the caller of the request [id] may come back, spread over callers. */
    fun retryAfterMs(id: String): Long {
        val levelS = maxOf(-level, 0.0) / limit.requestsPerSecond
        val localS = if (tokensPerSecond > 0) maxOf(1 - tokens, 0.0) / tokensPerSecond else 0.0
        val spreadMs = hashToUnitInterval(id) * SPREAD_MS / maxOf(fraction, SPREAD_MS / MAX_RETRY_AFTER_MS)
        val waitMs = maxOf(levelS * MS_PER_S, localS * MS_PER_S, MIN_RETRY_AFTER_MS)
        return minOf(waitMs + spreadMs, MAX_RETRY_AFTER_MS).toLong()
    }

    /** Applies what is known of the requests at all instances, or null when nothing recent is known. */
    fun update(known: KnownDemand?, instanceCount: Int, nowMs: Long) {
        refill(nowMs)
        updateLevel(known, nowMs)
        updateLocal(known, instanceCount, nowMs)
    }

    private fun updateLevel(known: KnownDemand?, nowMs: Long) {
        val part = known?.let { reachablePart(it) } ?: 1.0
        val perSecond = minOf(limit.requestsPerSecond * part + UNRESERVED_PER_SECOND, limit.requestsPerSecond)
        val tookMs = nowMs - levelAtMs
        if (levelAtMs >= 0) level += (perSecond - sentPerSecond) * tookMs / MS_PER_S
        levelAtMs = nowMs
        val highest = limit.burst * LEVEL_PART + LEVEL_MARGIN
        level = level.coerceIn(-limit.requestsPerSecond * MAX_DEBT_S, highest)
        if (known == null) return
        sentPerSecond = known.sent
        updateAsked(known.asked, tookMs)
        val target = maxOf(perSecond + extraPerSecond(minOf(level, highest * part)), 0.0)
        val next = if (askedPerSecond <= target) 1.0 else target / askedPerSecond
        if (fraction >= 1 && next < 1) limitedAtMs = nowMs
        fraction = next
    }

    /** Returns the requests per second by which [usable] requests of the level are used up or restored. */
    private fun extraPerSecond(usable: Double): Double =
        if (usable > 0) (usable + minOf(usable, LEVEL_MARGIN)) / USE_TIME_S else usable / RESTORE_TIME_S

    private fun updateAsked(asked: Double, tookMs: Long) {
        val weight = if (isRise(askedPerSecond, asked)) RISE_WEIGHT else 1 - exp(-tookMs / ASKED_MS)
        askedPerSecond += (asked - askedPerSecond) * weight
    }

    /**
     * Returns the part of the limit that the instances within reach may use: the mean of their usual part and of what
     * the usual requests of the others leave, so that callers who come from instances that are down find room.
     */
    private fun reachablePart(known: KnownDemand): Double {
        if (known.reserved <= 0) return 1.0
        val usualPart = known.usual / (known.usual + known.reserved)
        return (usualPart + maxOf(usualPart, 1 - known.reserved / limit.requestsPerSecond)) / 2
    }

    private fun updateLocal(known: KnownDemand?, instanceCount: Int, nowMs: Long) {
        if (instanceCount == 0) return
        if (nowMs - partAtMs >= RISE_INTERVAL_MS && known != null) {
            partAtMs = nowMs
            val own = counter.demand(teamId, nowMs).asked * MS_PER_S / DEMAND_WINDOW_MS
            recentParts.addLast(if (known.asked > 0) own / maxOf(known.asked, own) else 0.0)
            if (recentParts.size > RISE_UPDATES) recentParts.removeFirst()
        }
        val ownPart = if (recentParts.size == RISE_UPDATES && known != null) recentParts.min() else 0.0
        val partPerSecond = LOCAL_FACTOR * limit.requestsPerSecond * maxOf(1.0 / instanceCount, ownPart)
        tokensPerSecond = maxOf(partPerSecond, MIN_TOKENS_PER_SECOND)
    }

    private fun refill(nowMs: Long) {
        val capacity = maxOf(tokensPerSecond * LOCAL_BURST_S + INITIAL_TOKENS, LOCAL_TOKENS)
        if (tokensAtMs >= 0) tokens += tokensPerSecond * (nowMs - tokensAtMs) / MS_PER_S
        tokens = minOf(tokens, capacity)
        tokensAtMs = nowMs
    }
}
