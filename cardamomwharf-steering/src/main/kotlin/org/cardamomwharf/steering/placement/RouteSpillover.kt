/*
 * Spillover of one route's requests to other regions. The shares belong to the route, so that its requests keep to
 * their regions when the route moves to another service. Each other region has a share of the attempts. It follows the
 * share of requests that would be cheapest in that region, and changes slowly, so that the regions of a deployment
 * don't oscillate. Within the shares, the requests that benefit from leaving are preferred.
 *
 * A share refers to sent attempts. A share of arriving requests would rise with every request that the own region
 * refuses.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.steering.limits.SlidingWindowCounter
import kotlin.math.abs

/**
 * Weight of one request in the average of requests that are cheaper elsewhere; about two seconds of an instance's
 * requests.
 */
private const val SMOOTHING_FACTOR = 0.03

/** Share of the allowed shift that is used, because the arrivals of single instances vary. */
private const val USABLE_SHIFT_SHARE = 0.6

/** Window in which the users measure shifts. */
private const val SHIFT_WINDOW_MS = 2_000L

/**
 * Maximum stored credit of all regions as a share of the requests of a window: what all instances may move at once,
 * when the servers of their region become busy for all of them, is this share of the region's requests.
 */
private const val STORED_WINDOW_SHARE = 0.06

/**
 * Maximum credit, stored or borrowed, of an instance in a region with few servers: one attempt, so that most keys keep
 * to their regions although few requests arrive between two turns of a region. UnevenRegionsTest covers the value.
 */
private const val MAX_KEY_CREDIT = 1.0

/** Maximum stored credit of an instance with many requests. */
private const val MAX_STORED_CREDIT = 2.0

/**
 * Controls the spillover of one route on this instance.
 *
 * @param initialShares initial share of attempts for each other region; 0 for a region that isn't listed.
 * @param initialCredit credit between 0 and 1, different on each instance, so that instances that start together don't
 * all send their first requests to other regions.
 */
public class RouteSpillover(
    private val maxShift: Double,
    initialShares: Map<RegionName?, Double>,
    private val initialCredit: Double,
) {
    private val attempts = SlidingWindowCounter(SHIFT_WINDOW_MS)
    private val regions = HashMap<RegionName?, RegionShare>()
    private var adjustedAtMs: Long? = null

    /**
     * Minimum share of attempts for each other region, which the regions keep for as many keys; empty if keys have no
     * region.
     */
    internal var keyShares: Map<RegionName?, Double> = emptyMap()

    init {
        initialShares.forEach { (region, share) -> regions[region] = RegionShare(share, initialCredit) }
    }

    /** Share of attempts that go to each other region. */
    public val shares: Map<RegionName?, Double> get() = regions.mapValues { it.value.share }

    /** Attempts of the last window. */
    internal fun attemptCount(nowMs: Long): Long = attempts.total(nowMs)

    /** Share of attempts that go to other regions. */
    public val share: Double get() = regions.values.sumOf { it.share }

    /** Share of the requests that would be cheaper in another region, among those that can be served in time. */
    public val targetShare: Double get() = regions.values.sumOf { it.target }

    /**
     * Records the other region in which a request is cheapest, among those that can serve it in time.
     *
     * @param isCheaperElsewhere false if the request is cheapest in the own region.
     */
    public fun recordComparison(isCheaperElsewhere: Boolean, region: RegionName?) {
        if (isCheaperElsewhere) regions.getOrPut(region) { RegionShare(0.0, initialCredit) }
        regions.forEach { (other, regionShare) ->
            val isCheapest = isCheaperElsewhere && other == region
            regionShare.target += SMOOTHING_FACTOR * ((if (isCheapest) 1.0 else 0.0) - regionShare.target)
        }
    }

    /**
     * Returns the score to use for the next request: the best one of another region whose turn it is, or null for the
     * own region. A request that isn't cheapest in a region goes there only once its credit has reached the maximum.
     *
     * @param others scores of other regions, at most one for each region.
     * @param cheapest the cheapest of [others] if it is cheaper than the own region, or null.
     */
    internal fun choose(others: Collection<ServerScore>, cheapest: ServerScore?, nowMs: Long): ServerScore? {
        if (cheapest != null && nextCredit(cheapest) >= 1.0) return cheapest
        return others.filter { nextCredit(it) >= maxCredit(nowMs) }.maxByOrNull { nextCredit(it) }
    }

    /**
     * Returns the score to use for a request whose key has its own region, [keyRegion], or null for the own region of
     * the instance. A region whose credit has reached the maximum takes other keys as well, and one whose credit is
     * used up takes none, so that the sum keeps to the shares.
     */
    internal fun chooseByKey(others: Collection<ServerScore>, keyRegion: RegionName?, nowMs: Long): ServerScore? {
        val preferred = others.find { keyRegion != null && it.server.region == keyRegion }
        if (preferred != null && nextCredit(preferred) >= 1.0 - MAX_KEY_CREDIT) return preferred
        return others.filter { nextCredit(it) >= maxCredit(nowMs) }.maxByOrNull { nextCredit(it) }
    }

    /**
     * Returns the other region that the key at [position] belongs to, or null for the own one. All instances of a
     * region with similar shares agree on it, and a share that changes moves as few keys as possible.
     */
    internal fun regionForKey(position: KeyPosition): RegionName? {
        val total = share
        if (position.leaving >= total) return null
        var end = 0.0
        return regions.entries.sortedBy { it.key?.value.orEmpty() }.firstOrNull { (_, regionShare) ->
            end += regionShare.share / total
            position.region < end
        }?.key
    }

    /**
     * Records an attempt in the other [region] if [isSpilledOver], else in the own one. A region whose turn has passed
     * can't serve requests at the moment. Its share falls then, so that it doesn't get the whole share back at once
     * when it can.
     */
    public fun recordAttempt(isSpilledOver: Boolean, region: RegionName?, nowMs: Long) {
        attempts.increment(nowMs)
        val maxCredit = maxCredit(nowMs)
        regions.forEach { (other, regionShare) ->
            val isUsed = isSpilledOver && other == region
            val next = regionShare.credit + regionShare.share
            regionShare.credit = next.coerceAtMost(maxCredit) - (if (isUsed) 1.0 else 0.0)
            if (!isUsed && next >= maxCredit) regionShare.reduce(1.0 / attempts.total(nowMs))
        }
    }

    /** Moves the shares towards their targets, within the allowed shift of all regions together. */
    public fun adjust(nowMs: Long) {
        keyShares.forEach { (region, minShare) ->
            val regionShare = regions.getOrPut(region) { RegionShare(0.0, initialCredit) }
            regionShare.target = regionShare.target.coerceAtLeast(minShare)
        }
        val elapsedMs = nowMs - (adjustedAtMs ?: nowMs)
        adjustedAtMs = nowMs
        val step = maxShift * USABLE_SHIFT_SHARE * elapsedMs / SHIFT_WINDOW_MS
        val changes = regions.values.map { it.target - it.share }
        // What one region gains another one, or the own region, loses.
        val shift = (changes.sumOf { abs(it) } + abs(changes.sum())) / 2
        val factor = if (shift > step) step / shift else 1.0
        regions.values.forEach { it.share += factor * (it.target - it.share) }
    }

    private fun nextCredit(score: ServerScore): Double =
        regions[score.server.region]?.let { it.credit + it.share } ?: 0.0

    private fun maxCredit(nowMs: Long): Double {
        if (keyShares.isNotEmpty()) return 1.0 + MAX_KEY_CREDIT
        val stored = STORED_WINDOW_SHARE * attempts.total(nowMs) / regions.size.coerceAtLeast(1)
        return 1.0 + stored.coerceAtMost(MAX_STORED_CREDIT)
    }

    /** Tracks the [share] of attempts of one other region, its [target], and the [credit] that its attempts use. */
    private class RegionShare(var share: Double, var credit: Double) {
        var target = share

        fun reduce(fraction: Double) {
            share -= fraction * share
            target -= fraction * target
        }
    }
}
