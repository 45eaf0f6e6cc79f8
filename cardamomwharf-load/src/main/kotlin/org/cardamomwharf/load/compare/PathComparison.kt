/*
 * Measures what an entry instance adds: the same requests go in turns straight to a backend server and through an entry
 * instance, at the same rate in the same run, so that the ratio of the two says little about the machine.
 */
package org.cardamomwharf.load.compare

import org.HdrHistogram.Histogram
import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call

private const val LARGEST_US = 60_000_000L
private const val DIGITS = 3
private const val US_PER_S = 1_000_000L
private const val NS_PER_US = 1_000L
private const val US_PER_MS = 1_000L
private const val MEDIAN = 50.0
private const val VERY_HIGH = 99.0
private const val LIMIT_MS = 5_000L

/** Represents the two ways and the load on them. */
public data class ComparisonPlan(
    public val directUrl: String,
    public val entryUrl: String,
    public val client: String,
    public val pairsPerSecond: Int,
    public val warmUpPairs: Int,
    public val pairs: Int,
)

/** Represents the times of one way in microseconds. */
public data class WayTimes(public val medianUs: Long, public val p99Us: Long, public val failures: Int)

/** Represents the outcome of a comparison. */
public data class Comparison(public val direct: WayTimes, public val entry: WayTimes) {
    /** How many times longer the median is through an entry instance. */
    public val medianRatio: Double get() = entry.medianUs.toDouble() / direct.medianUs.coerceAtLeast(1)
}

/** Returns the times of both ways. */
public fun compareWays(caller: HttpClient, plan: ComparisonPlan): Comparison {
    val direct = Way { caller.call(callOf(plan.directUrl, plan)) }
    val entry = Way { caller.call(callOf(plan.entryUrl, plan)) }
    val gapUs = US_PER_S / plan.pairsPerSecond
    repeat(plan.warmUpPairs + plan.pairs) { number ->
        val startNs = System.nanoTime()
        val isCounted = number >= plan.warmUpPairs
        direct.take(isCounted)
        entry.take(isCounted)
        val restUs = gapUs - (System.nanoTime() - startNs) / NS_PER_US
        if (restUs > 0) Thread.sleep(restUs / US_PER_MS, ((restUs % US_PER_MS) * NS_PER_US).toInt())
    }
    return Comparison(direct.times(), entry.times())
}

private fun callOf(url: String, plan: ComparisonPlan) =
    HttpCall("GET", url, listOf(HttpField("Wharf-Client", plan.client)), timeoutMs = LIMIT_MS)

private class Way(private val send: () -> HttpResult) {
    private val histogram = Histogram(LARGEST_US, DIGITS)
    private var failures = 0

    fun take(isCounted: Boolean) {
        val startNs = System.nanoTime()
        val end = send()
        val tookUs = (System.nanoTime() - startNs) / NS_PER_US
        if (!isCounted) return
        if (end is HttpResult.Completed && isRan(end.response)) histogram.recordValue(tookUs) else failures++
    }

    private fun isRan(answer: HttpResponse): Boolean =
        (answer.findHeader(HeaderNames.OUTCOME) ?: Outcome.RAN.code) == Outcome.RAN.code

    fun times(): WayTimes =
        WayTimes(histogram.getValueAtPercentile(MEDIAN), histogram.getValueAtPercentile(VERY_HIGH), failures)
}
