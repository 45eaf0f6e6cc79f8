/*
 * Lends work to other regions. The share of a service's requests that leaves the region follows how many of them would
 * finish sooner elsewhere, and moves slowly, so that the regions of a deployment don't swing against each other. Within
 * the share, the requests that gain most by leaving are the ones that leave.
 *
 * It is a share of what is sent. A share of what arrives would rise with each request that the own region refuses.
 */
package org.cardamomwharf.steering.placement

/** Weight of one request in the average of those that gain by leaving; about two seconds of an instance's requests. */
private const val SMOOTHING = 0.03

/** Part of the allowed shift that is used; arrivals of single instances vary around it. */
private const val USABLE_SHIFT_SHARE = 0.6

/** Window in which the users measure shifts. */
private const val SHIFT_WINDOW_MS = 2_000.0

/** Requests that may leave at a moment after none left; RegionShiftTest holds the sum of many instances. */
private const val MAX_CREDIT = 3.0

/** Credit at the start, so that instances that start together don't lend their first requests all at once. */
private const val INITIAL_CREDIT = 0.5

/** Represents the lending of one service at this instance. */
public class ServiceSpillover(private val maxShift: Double, initialShare: Double) {
    /** Share of the tries that are lent. */
    public var share: Double = initialShare.coerceIn(0.0, 1.0)
        private set

    /** Share of the requests that gain by leaving, of those that can be served in time. */
    public var targetShare: Double = share
        private set
    private var credit = INITIAL_CREDIT
    private var adjustedAtMs: Long? = null

    /** Notes whether a request that can be served in time [isCheaperElsewhere] by leaving. */
    public fun recordComparison(isCheaperElsewhere: Boolean) {
        targetShare += SMOOTHING * ((if (isCheaperElsewhere) 1.0 else 0.0) - targetShare)
    }

    /** Returns true when the next request is lent if it is sent, given whether it [isCheaperElsewhere] by leaving. */
    public fun isNextSpilledOver(isCheaperElsewhere: Boolean): Boolean {
        val next = credit + share
        return next >= 1.0 && (isCheaperElsewhere || next >= MAX_CREDIT)
    }

    /** Notes a try that [isSpilledOver] or stays. */
    public fun recordAttempt(isSpilledOver: Boolean) {
        credit = (credit + share).coerceAtMost(MAX_CREDIT) - (if (isSpilledOver) 1.0 else 0.0)
    }

    /** Moves the share towards what is targetShare. */
    public fun adjust(nowMs: Long) {
        val elapsedMs = nowMs - (adjustedAtMs ?: nowMs)
        adjustedAtMs = nowMs
        val step = maxShift * USABLE_SHIFT_SHARE * elapsedMs / SHIFT_WINDOW_MS
        share += (targetShare - share).coerceIn(-step, step)
    }
}
