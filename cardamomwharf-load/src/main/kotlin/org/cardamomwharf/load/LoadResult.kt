/*
 * What a load run counted, as it is printed and written to files.
 */
package org.cardamomwharf.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.AbstractHistogram
import org.cardamomwharf.core.Outcome

private const val MEDIAN = 50.0
private const val HIGH = 95.0
private const val VERY_HIGH = 99.0

/** Represents the counts of a load run, and a few of its [wrongAnswers] for finding their cause. */
@Serializable
public data class LoadResult(
    public val durationMs: Long,
    public val services: List<ServiceResult>,
    public val keysRunTwice: Int = 0,
    public val wrongAnswers: List<WrongAnswer> = emptyList(),
)

/** Represents the counts of one service; [ends] are counted by outcome and reason. */
@Serializable
public data class ServiceResult(
    public val service: String,
    public val kind: String,
    public val requests: Long,
    public val tries: Long,
    public val ends: Map<String, Long>,
    public val wrongAnswers: Long,
    public val latencyMs: LatencyResult,
) {
    /** The requests that ran. */
    public val ran: Long get() = ends.filterKeys { it.startsWith(Outcome.RAN.code + " ") }.values.sum()
}

/** Represents the latencies of one service in milliseconds. */
@Serializable
public data class LatencyResult(
    public val median: Long,
    public val p95: Long,
    public val p99: Long,
    public val largest: Long,
) {
    public companion object {
        /** Returns the latencies in [histogram]. */
        public fun of(histogram: AbstractHistogram): LatencyResult = LatencyResult(
            median = histogram.getValueAtPercentile(MEDIAN),
            p95 = histogram.getValueAtPercentile(HIGH),
            p99 = histogram.getValueAtPercentile(VERY_HIGH),
            largest = histogram.maxValue,
        )
    }
}

/** Returns the counts as text for people. */
public fun LoadResult.toText(): String {
    val lines = services.map { service ->
        val latency = service.latencyMs
        "${service.service} (${service.kind}): ${service.ran} of ${service.requests} ran, ${service.tries} tries, " +
            "${service.wrongAnswers} wrong answers, latency median ${latency.median} ms, p95 ${latency.p95} ms, " +
            "p99 ${latency.p99} ms\n" + service.ends.entries.joinToString("\n") { "    ${it.key}: ${it.value}" }
    }
    val wrong = wrongAnswers.map { "    wrong: ${it.service} ${it.path} got ${it.status} ${it.fields}\n${it.body}" }
    return (lines + wrong).joinToString("\n") + "\nKeys that ran twice: $keysRunTwice"
}
