/*
 * Prometheus metrics of an entry process: counters by refusal and retry reason, latencies by service, and gauges for
 * slots, cap parts and the document.
 */
package org.cardamomwharf.entry.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.decision.computeLoads
import org.cardamomwharf.entry.loop.Snapshot
import java.io.ByteArrayOutputStream

private const val MS_PER_SECOND = 1_000.0

/** Records the metrics of one process. */
public class EntryMetrics {
    private val registry = PrometheusRegistry()
    private val responses = counter("wharf_answers_total", "Final answers.", "service", "outcome", "reason")
    private val refusals = counter("wharf_refusals_total", "Requests refused before a decision.", "reason")
    private val retries = counter("wharf_retries_total", "Further tries of requests.", "service", "reason")
    private val lookups = counter("wharf_lookups_total", "Look-ups answered.", "service")
    private val peerDrops = counter("wharf_peer_drops_total", "Messages to peers that found no room.")
    private val expiredClaims = counter("wharf_claims_expired_total", "Claim rows that were deleted for their age.")
    private val latency = Histogram.builder()
        .name("wharf_request_seconds").help("Time until the final answer.").labelNames("service").register(registry)
    private val freeSlots = gauge("wharf_slots_free", "Free slots of owned backend servers.", "service")
    private val ownedSlots = gauge("wharf_slots_owned", "Slots of owned backend servers.", "service")
    private val capParts = gauge("wharf_cap_parts", "Parts of the zone's cap shares that this instance holds.")
    private val documentVersion = gauge("wharf_document_version", "Version of the document in force.")
    private val documentAge = gauge("wharf_document_age_seconds", "Time since the document was adopted.")
    private val livePeers = gauge("wharf_live_peers", "Live peers of the own zone.")

    /** Counts a final response. */
    public fun countResponse(service: ServiceName, reason: Reason) {
        responses.labelValues(service.value, reason.outcome.code, reason.code).inc()
    }

    /** Counts a request that was refused before it reached the decision loop. */
    public fun countRefusal(reason: Reason) {
        refusals.labelValues(reason.code).inc()
    }

    /** Counts a retry. */
    public fun countRetry(service: ServiceName, reason: Reason) {
        retries.labelValues(service.value, reason.code).inc()
    }

    /** Counts a look-up. */
    public fun countLookup(service: ServiceName) {
        lookups.labelValues(service.value).inc()
    }

    /** Counts a message to a peer that was dropped because the send queue was full. */
    public fun countPeerDrop() {
        peerDrops.inc()
    }

    /** Counts claim rows that were deleted because of their age. */
    public fun countExpired(rows: Int) {
        expiredClaims.inc(rows.toDouble())
    }

    /** Records the time until the final response. */
    public fun observeLatency(service: ServiceName, durationMs: Long) {
        latency.labelValues(service.value).observe(durationMs / MS_PER_SECOND)
    }

    /** Returns all metrics in the Prometheus text format, with gauges computed from [snapshot]. */
    public fun write(snapshot: Snapshot, nowMs: Long): String {
        val state = snapshot.state
        for (load in state.computeLoads(nowMs)) {
            freeSlots.labelValues(load.service.value).set(load.freeSlots.toDouble())
            ownedSlots.labelValues(load.service.value).set(load.totalSlots.toDouble())
        }
        capParts.set(state.ownership.capParts.size.toDouble())
        documentVersion.set(state.adoption.version.value.toDouble())
        documentAge.set((nowMs - state.adoption.adoptedAtMs) / MS_PER_SECOND)
        livePeers.set(state.membership.peers.size.toDouble())
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private fun gauge(name: String, help: String, vararg labels: String): Gauge =
        Gauge.builder().name(name).help(help).labelNames(*labels).register(registry)
}
