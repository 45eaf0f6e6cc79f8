/*
 * Distribution of the recent response times of one kind of request, in buckets of exponentially growing width. Old
 * observations fade, so that the distribution follows the load.
 */
package org.cardamomwharf.steering.hedging

import kotlin.math.ln
import kotlin.math.pow

/** Ratio between the bounds of neighbouring buckets; the error of a quantile is below it. */
private const val BUCKET_RATIO = 1.1

/** Number of buckets; the last one begins above the longest timeouts of routes, a few minutes. */
private const val BUCKETS = 140

/** Number of observations at which all of them are halved: some seconds of a busy route on one instance. */
private const val MAX_OBSERVATIONS = 400.0

/** Number of observations below which a quantile near the maximum says little. */
private const val MIN_OBSERVATIONS = 40.0

/** Tracks the distribution of response times. */
internal class ResponseTimes {
    private val counts = DoubleArray(BUCKETS)
    private var total = 0.0

    /** Records a response that took [tookMs]. */
    fun record(tookMs: Long) {
        val bucket = (ln(tookMs.coerceAtLeast(1).toDouble()) / ln(BUCKET_RATIO)).toInt()
        counts[bucket.coerceAtMost(BUCKETS - 1)] += 1.0
        total += 1.0
        if (total >= MAX_OBSERVATIONS) fade()
    }

    /** Returns the time within which the [quantile] of responses arrive, or null before there are enough of them. */
    fun quantileMs(quantile: Double): Long? {
        if (total < MIN_OBSERVATIONS) return null
        var rest = quantile * total
        val bucket = counts.indices.first { index ->
            rest -= counts[index]
            rest <= 0.0 || index == BUCKETS - 1
        }
        return BUCKET_RATIO.pow(bucket + 1).toLong()
    }

    private fun fade() {
        counts.indices.forEach { counts[it] /= 2 }
        total /= 2
    }
}
