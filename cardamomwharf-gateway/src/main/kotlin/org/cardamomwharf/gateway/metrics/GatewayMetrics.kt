/*
 * The metrics of a gateway process: outcomes, refusals and retries by reason, and latencies.
 */
package org.cardamomwharf.gateway.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cardamomwharf.forward.listener.AsyncHandler
import org.cardamomwharf.forward.proxy.RequestTrace
import org.cardamomwharf.forward.proxy.TraceSink
import org.cardamomwharf.steering.instances.DirectoryScope
import org.cardamomwharf.steering.requests.AttemptOutcome
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer

private const val MS_PER_SECOND = 1_000.0

/** Outcomes after which no retry follows, although another attempt of a hedged request may end later. */
private val notFollowed = setOf(AttemptOutcome.ANSWERED.code, AttemptOutcome.SUPERSEDED.code)

/** Represents the metrics of one process. */
internal class GatewayMetrics : TraceSink {
    private val registry = PrometheusRegistry()
    private val responses = Counter.builder().name("wharf_answers_total").help("Final answers.")
        .labelNames("service", "outcome", "status").register(registry)
    private val retries = Counter.builder().name("wharf_repeats_total").help("Tries that were followed by another.")
        .labelNames("service", "reason").register(registry)
    private val attempts = Counter.builder().name("wharf_sends_total").help("Tries by the region that they went to.")
        .labelNames("service", "region", "choice").register(registry)
    private val directoryResponses = Counter.builder().name("wharf_directory_answers_total")
        .help("Answers of the directory by how far the named instances are.").labelNames("scope").register(registry)
    private val unreadableRows = Counter.builder().name("wharf_unreadable_rows_total").help("Rows that can't be read.")
        .labelNames("table").register(registry)
    private val serverReports = Counter.builder().name("wharf_server_reports_total")
        .help("Changed or malformed statements of backend servers about themselves.").labelNames("statement")
        .register(registry)
    private val blocks = Counter.builder().name("wharf_crashing_requests_total")
        .help("Requests that crash backend servers, by what became of them.").labelNames("change").register(registry)
    private val ahead = Counter.builder().name("wharf_requests_ahead_total")
        .help("Requests that were started before their turn on the caller's connection, by their final answer.")
        .labelNames("outcome").register(registry)
    private val hedges = Counter.builder().name("wharf_hedges_total")
        .help("Tries that were sent while another one was pending, by how they ended.").labelNames("service", "end")
        .register(registry)
    private val latency = Histogram.builder().name("wharf_request_seconds").help("Time until the final answer.")
        .labelNames("service").classicOnly().register(registry)
    private val state = Gauge.builder().name("wharf_state").help("Numbers of what this process knows and holds.")
        .labelNames("what").register(registry)

    override fun record(trace: RequestTrace) {
        responses.labelValues(trace.service, trace.outcome, trace.status.toString()).inc()
        if (trace.aheadPosition > 0) ahead.labelValues(trace.outcome).inc()
        trace.attempts.filter { it.isHedge }.forEach { hedges.labelValues(trace.service, it.outcome).inc() }
        trace.attempts.dropLast(1).filter { it.outcome !in notFollowed }
            .forEach { retries.labelValues(trace.service, it.outcome).inc() }
        trace.attempts.forEach {
            val placement = it.placement
            attempts.labelValues(trace.service, placement.region?.value.orEmpty(), placement.choice.code).inc()
        }
        latency.labelValues(trace.service).observe(trace.tookMs / MS_PER_SECOND)
    }

    fun countDirectoryResponse(scope: DirectoryScope) {
        directoryResponses.labelValues(scope.code).inc()
    }

    fun countUnreadableRow(table: String) {
        unreadableRows.labelValues(table).inc()
    }

    fun countServerReport(statement: String) {
        serverReports.labelValues(statement).inc()
    }

    fun countBlock(change: String) {
        blocks.labelValues(change).inc()
    }

    /** Returns the handler that exposes all metrics, including the values returned by [readState]. */
    fun handler(readState: () -> Map<String, Long>): AsyncHandler = AsyncHandler { _, response, callback ->
        readState().forEach { (name, value) -> state.labelValues(name).set(value.toDouble()) }
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter(false).write(bytes, registry.scrape())
        response.write(true, ByteBuffer.wrap(bytes.toByteArray()), callback)
    }
}
