/*
 * The result of a load run, as printed and as written to files.
 */
package org.cardamomwharf.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.AbstractHistogram
import org.cardamomwharf.core.Outcome

private const val MEDIAN = 50.0
private const val P95 = 95.0
private const val P99 = 99.0

/** Represents the counts of a load run and a sample of its [wrongResponses]. */
@Serializable
public data class LoadResult(
    public val durationMs: Long,
    public val services: List<ServiceResult>,
    public val keysRunTwice: Int = 0,
    @SerialName("wrongAnswers") public val wrongResponses: List<WrongResponse> = emptyList(),
)

/** Represents the counts of one service; [outcomes] counts requests by outcome and reason. */
@Serializable
public data class ServiceResult(
    public val service: String,
    public val kind: String,
    public val requests: Long,
    @SerialName("tries") public val attempts: Long,
    @SerialName("ends") public val outcomes: Map<String, Long>,
    @SerialName("wrongAnswers") public val wrongResponses: Long,
    public val latencyMs: LatencyResult,
) {
    /** The number of requests that ran. */
    public val ran: Long get() = outcomes.filterKeys { it.startsWith(Outcome.RAN.code + " ") }.values.sum()
}

/** Represents the latencies of one service in milliseconds. */
@Serializable
public data class LatencyResult(
    public val median: Long,
    public val p95: Long,
    public val p99: Long,
    @SerialName("largest") public val max: Long,
) {
    public companion object {
        /** Returns the percentiles of [histogram]. */
        public fun fromHistogram(histogram: AbstractHistogram): LatencyResult = LatencyResult(
            median = histogram.getValueAtPercentile(MEDIAN),
            p95 = histogram.getValueAtPercentile(P95),
            p99 = histogram.getValueAtPercentile(P99),
            max = histogram.maxValue,
        )
    }
}

/** Returns the result as text. */
public fun LoadResult.toText(): String {
    val lines = services.map { service ->
        val latency = service.latencyMs
        "${service.service} (${service.kind}): ${service.ran} of ${service.requests} ran, " +
            "${service.attempts} attempts, ${service.wrongResponses} wrong responses, " +
            "latency median ${latency.median} ms, p95 ${latency.p95} ms, p99 ${latency.p99} ms\n" +
            service.outcomes.entries.joinToString("\n") { "    ${it.key}: ${it.value}" }
    }
    val samples = wrongResponses.map {
        "    wrong: ${it.service} ${it.path} got ${it.status} ${it.headers}\n${it.body}"
    }
    return (lines + samples).joinToString("\n") + "\nKeys that ran twice: $keysRunTwice"
}
