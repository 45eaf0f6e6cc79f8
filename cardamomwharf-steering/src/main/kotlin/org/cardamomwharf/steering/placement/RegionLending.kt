/*
 * Lends work to other regions. The share of a service's requests that leaves the region follows the use of the slots on
 * both sides and moves slowly, so that the regions of a deployment don't swing against each other. Only when the region
 * has nothing left to serve with does all work leave at once.
 */
package org.cardamomwharf.steering.placement

/** Use of the region's slots above which more is lent, when others have room. */
private const val HIGH_USE = 0.9

/** Use of the region's slots below which less is lent. */
private const val LOW_USE = 0.6

/** Difference of use that makes lending worth its way. */
private const val LEAST_DIFFERENCE = 0.2

/** Part of the allowed shift that is used; arrivals of single instances vary around it. */
private const val USABLE_SHIFT = 0.5

private const val SHIFT_WINDOW_MS = 2_000.0

/** Represents the lending of one service at this instance. */
public class RegionLending(private val largestShift: Double, initialShare: Double) {
    /** Share of the requests that is lent. */
    public var share: Double = initialShare.coerceIn(0.0, 1.0)
        private set
    private var credit = 0.5
    private var adjustedAtMs: Long? = null

    /** Moves the share after the use of the slots, where 1 means that all slots are in use. */
    public fun adjust(ownUse: Double, otherUse: Double, nowMs: Long) {
        val elapsedMs = nowMs - (adjustedAtMs ?: nowMs)
        adjustedAtMs = nowMs
        val step = largestShift * USABLE_SHIFT * elapsedMs / SHIFT_WINDOW_MS
        if (ownUse > HIGH_USE && otherUse < ownUse - LEAST_DIFFERENCE) share += step
        if (ownUse < LOW_USE) share -= step
        share = share.coerceIn(0.0, 1.0)
    }

    /** Returns true when the next request is lent. */
    public fun isNextLent(): Boolean {
        credit += share
        if (credit < 1.0) return false
        credit -= 1.0
        return true
    }
}
