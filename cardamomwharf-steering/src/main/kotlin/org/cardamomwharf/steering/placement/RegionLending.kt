/*
 * Lends work to other regions. The share of a service's requests that leaves the region follows how many of them would
 * finish sooner elsewhere, and moves slowly, so that the regions of a deployment don't swing against each other. Within
 * the share, the requests that gain most by leaving are the ones that leave.
 */
package org.cardamomwharf.steering.placement

/** Weight of one request in the average of those that gain by leaving; about two seconds of an instance's requests. */
private const val SMOOTHING = 0.03

/** Part of the allowed shift that is used; arrivals of single instances vary around it. */
private const val USABLE_SHIFT = 0.6

/** Window in which the users measure shifts. */
private const val SHIFT_WINDOW_MS = 2_000.0

/** Requests that may leave beyond the share at a moment. */
private const val LARGEST_CREDIT = 3.0

/** Represents the lending of one service at this instance. */
public class RegionLending(private val largestShift: Double, initialShare: Double) {
    /** Share of the requests that is lent. */
    public var share: Double = initialShare.coerceIn(0.0, 1.0)
        private set

    /** Share of the requests that gains by leaving. */
    public var wanted: Double = share
        private set
    private var credit = 1.0
    private var adjustedAtMs: Long? = null

    /** Returns true when the next request is lent, given whether it [gains] by leaving. */
    public fun decide(gains: Boolean): Boolean {
        wanted += SMOOTHING * ((if (gains) 1.0 else 0.0) - wanted)
        credit = (credit + share).coerceAtMost(LARGEST_CREDIT)
        val isLent = credit >= 1.0 && (gains || credit >= LARGEST_CREDIT)
        if (isLent) credit -= 1.0
        return isLent
    }

    /** Moves the share towards what is wanted. */
    public fun adjust(nowMs: Long) {
        val elapsedMs = nowMs - (adjustedAtMs ?: nowMs)
        adjustedAtMs = nowMs
        val step = largestShift * USABLE_SHIFT * elapsedMs / SHIFT_WINDOW_MS
        share += (wanted - share).coerceIn(-step, step)
    }
}
