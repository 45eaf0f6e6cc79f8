/*
 * Measures the overhead of an entry instance: the same requests go alternately to a backend server directly and through
 * an entry instance, at the same rate in the same run, so that the ratio depends little on the machine.
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

private const val MAX_LATENCY_US = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val US_PER_S = 1_000_000L
private const val NS_PER_US = 1_000L
private const val US_PER_MS = 1_000L
private const val MEDIAN = 50.0
private const val P99 = 99.0
private const val TIMEOUT_MS = 5_000L

/** Represents the two paths and the load on them. */
public data class ComparisonPlan(
    public val directUrl: String,
    public val entryUrl: String,
    public val client: String,
    public val pairsPerSecond: Int,
    public val warmUpPairs: Int,
    public val pairs: Int,
)

/** Represents the latencies of one path in microseconds. */
public data class PathTimes(public val medianUs: Long, public val p99Us: Long, public val failures: Int)

/** Represents the result of a comparison. */
public data class PathComparison(public val direct: PathTimes, public val entry: PathTimes) {
    /** The median through the entry instance divided by the direct median. */
    public val medianRatio: Double get() = entry.medianUs.toDouble() / direct.medianUs.coerceAtLeast(1)
}

/** Runs the plan and returns the latencies of both paths. */
public fun comparePaths(client: HttpClient, plan: ComparisonPlan): PathComparison {
    val direct = MeasuredPath { client.call(createCall(plan.directUrl, plan)) }
    val entry = MeasuredPath { client.call(createCall(plan.entryUrl, plan)) }
    val intervalUs = US_PER_S / plan.pairsPerSecond
    repeat(plan.warmUpPairs + plan.pairs) { number ->
        val startNs = System.nanoTime()
        val isMeasured = number >= plan.warmUpPairs
        direct.sendRequest(isMeasured)
        entry.sendRequest(isMeasured)
        val remainingUs = intervalUs - (System.nanoTime() - startNs) / NS_PER_US
        if (remainingUs > 0) Thread.sleep(remainingUs / US_PER_MS, ((remainingUs % US_PER_MS) * NS_PER_US).toInt())
    }
    return PathComparison(direct.times(), entry.times())
}

private fun createCall(url: String, plan: ComparisonPlan) =
    HttpCall("GET", url, listOf(HttpField("Wharf-Client", plan.client)), timeoutMs = TIMEOUT_MS)

private class MeasuredPath(private val send: () -> HttpResult) {
    private val histogram = Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    private var failures = 0

    fun sendRequest(isMeasured: Boolean) {
        val startNs = System.nanoTime()
        val result = send()
        val latencyUs = (System.nanoTime() - startNs) / NS_PER_US
        if (!isMeasured) return
        if (result is HttpResult.Completed && hasRun(result.response)) histogram.recordValue(latencyUs) else failures++
    }

    private fun hasRun(response: HttpResponse): Boolean =
        (response.findHeader(HeaderNames.OUTCOME) ?: Outcome.RAN.code) == Outcome.RAN.code

    fun times(): PathTimes =
        PathTimes(histogram.getValueAtPercentile(MEDIAN), histogram.getValueAtPercentile(P99), failures)
}
