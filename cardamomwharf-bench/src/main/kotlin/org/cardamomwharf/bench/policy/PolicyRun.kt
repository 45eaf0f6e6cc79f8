/*
 * Runs one case with one router and measures latencies, failures and free slots.
 */
package org.cardamomwharf.bench.policy

import org.HdrHistogram.Histogram
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Service

/** The time before the load starts, in which the entry instances discover each other. */
private const val WARM_UP_MS = 10_000L

/** The duration of the measured load. */
private const val LOAD_MS = 20_000L
private const val COOL_DOWN_MS = 5_000L
private const val DEADLINE_MS = 3_000L
private const val CLIENTS_PER_ZONE = 40
private const val SAMPLE_MS = 100.0
private const val MAX_LATENCY_MS = 60_000L
private const val DIGITS = 3
private const val PERCENT = 100
private const val MEDIAN = 50.0
private const val P99 = 99.0
private const val P95 = 95.0

/** Returns the measurements of each service for [case] with the router that [createRouter] returns. */
public fun runPolicy(
    document: EnvironmentDocument,
    case: PolicyCase,
    seed: Long,
    createRouter: (PolicySimulation) -> Router,
): List<PolicyCount> {
    val simulation = PolicySimulation(document, case, seed)
    val run = PolicyRun(simulation, createRouter(simulation))
    run.run()
    return simulation.document.services.map { run.createCount(it) }
}

private class PolicyRun(private val simulation: PolicySimulation, private val router: Router) {
    private val statisticsByService = simulation.document.services.associate { it.name to ServiceStatistics() }
    private var nextRequest = 0L

    fun run() {
        router.start()
        simulation.clock.schedule(WARM_UP_MS.toDouble()) { startLoad() }
        simulation.clock.schedule(WARM_UP_MS + LOAD_MS / 2.0) { injectFailure() }
        simulation.clock.run(WARM_UP_MS + LOAD_MS + COOL_DOWN_MS)
    }

    private fun injectFailure() {
        if (simulation.case.failedRegion != null) simulation.failRegion()
        if (simulation.case.drainedRegion != null) {
            simulation.startDrain()
            router.onDocumentChange()
        }
    }

    private fun startLoad() {
        for (service in simulation.document.services) for (zone in simulation.zones) scheduleArrival(service, zone)
        sample()
    }

    private fun scheduleArrival(service: Service, zone: ZoneName) {
        val slots = simulation.index.countSlots(service.name, zone)
        val percent = simulation.case.loadPercent.getValue(simulation.regionOf(zone))
        val meanGapMs = service.expectedServiceMs * PERCENT.toDouble() / (slots * percent)
        simulation.clock.schedule(simulation.clock.randomExponential(meanGapMs)) {
            if (simulation.clock.nowMs < WARM_UP_MS + LOAD_MS) {
                sendRequest(service, zone)
                scheduleArrival(service, zone)
            }
        }
    }

    private fun sendRequest(service: Service, zone: ZoneName) {
        val client = "${zone.value}-${simulation.clock.randomInt(CLIENTS_PER_ZONE)}"
        val request =
            PolicyRequest(nextRequest++, service.name, service.isIdempotent, zone, client, DEADLINE_MS)
        val startMs = simulation.clock.nowMs
        val statistics = statisticsByService.getValue(service.name)
        statistics.offered++
        router.route(request) { result, reason -> statistics.record(result, reason, simulation.clock.nowMs - startMs) }
    }

    private fun sample() {
        if (simulation.clock.nowMs < WARM_UP_MS + LOAD_MS) {
            statisticsByService.forEach { (service, statistics) ->
                statistics.headroom.recordSample(getFreePercent(service))
            }
        }
        val drained = simulation.servers.filter { simulation.regionOf(it.config.zone) == simulation.case.drainedRegion }
        simulation.drainMeter.recordActivity(drained.any { it.load > 0 }, simulation.clock.nowMs)
        if (simulation.clock.nowMs < WARM_UP_MS + LOAD_MS + COOL_DOWN_MS) {
            simulation.clock.schedule(SAMPLE_MS) { sample() }
        }
    }

    /** Returns the free slots of each region in percent; queued requests count as running. */
    private fun getFreePercent(service: ServiceName): Map<RegionName, Int> =
        simulation.servers
            .filter { it.config.service == service && it.isUp && !isDrained(it) }
            .groupBy { simulation.regionOf(it.config.zone) }
            .mapValues { (_, servers) -> freePercent(servers) }

    private fun isDrained(server: SimulatedServer): Boolean =
        simulation.index.isDrained(server.config.service, server.config.zone, 0)

    private fun freePercent(servers: List<SimulatedServer>): Int {
        val slots = servers.sumOf { it.config.slots }
        return (slots - servers.sumOf { it.load }) * PERCENT / slots
    }

    fun createCount(service: Service): PolicyCount {
        val statistics = statisticsByService.getValue(service.name)
        return PolicyCount(
            case = simulation.case.name,
            router = router.name,
            service = service.name.value,
            offered = statistics.offered,
            ran = statistics.latency.totalCount,
            ranInTime = statistics.inTime,
            failures = statistics.failures.toSortedMap(),
            medianMs = statistics.latency.getValueAtPercentile(MEDIAN),
            p95Ms = statistics.latency.getValueAtPercentile(P95),
            p99Ms = statistics.latency.getValueAtPercentile(P99),
            meanFreePercent = statistics.headroom.meanLeastPercent,
            fullestRegionFreePercent = statistics.headroom.fullestRegionPercent,
            objective = simulation.document.objective.name.lowercase(),
            largestCapPercent = simulation.capMeter.maxPercent,
            leastLinkFreePercent = simulation.linkMeter.leastFreePercent,
            drainMs = simulation.drainMeter.durationMs,
        )
    }

    private class ServiceStatistics {
        val latency = Histogram(MAX_LATENCY_MS, DIGITS)
        val failures = HashMap<String, Long>()
        var offered = 0L
        var inTime = 0L
        val headroom = HeadroomMeter()

        fun record(result: RequestResult, reason: String, durationMs: Long) {
            if (result == RequestResult.RAN) {
                latency.recordValue(durationMs.coerceAtMost(MAX_LATENCY_MS))
                if (durationMs <= DEADLINE_MS) inTime++
            } else {
                failures.merge("${result.name.lowercase()} $reason", 1L, Long::plus)
            }
        }
    }
}
