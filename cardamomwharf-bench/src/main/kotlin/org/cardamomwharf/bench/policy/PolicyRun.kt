/*
 * Runs one case with one router and counts what came of it.
 */
package org.cardamomwharf.bench.policy

import org.HdrHistogram.Histogram
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Service

/** The time before the load starts, in which the entry instances get to know each other. */
private const val WARM_UP_MS = 10_000L

/** The time that is counted. */
private const val LOAD_MS = 20_000L
private const val END_MS = 5_000L
private const val DEADLINE_MS = 3_000L
private const val CLIENTS_PER_ZONE = 40
private const val SAMPLE_MS = 100.0
private const val LARGEST_MS = 60_000L
private const val DIGITS = 3
private const val PERCENT = 100
private const val MEDIAN = 50.0
private const val VERY_HIGH = 99.0
private const val COUNTED_PERCENTILE = 95.0

/** Returns the counts by service of [case] with the router that [makeRouter] gives. */
public fun runPolicy(
    document: EnvironmentDocument,
    case: PolicyCase,
    seed: Long,
    makeRouter: (PolicyWorld) -> Router,
): List<PolicyCount> {
    val world = PolicyWorld(document, case, seed)
    val run = PolicyRun(world, makeRouter(world))
    run.run()
    return world.document.services.map { run.countOf(it) }
}

private class PolicyRun(private val world: PolicyWorld, private val router: Router) {
    private val tallies = world.document.services.associate { it.name to Tally() }
    private var nextRequest = 0L

    fun run() {
        router.start()
        world.time.plan(WARM_UP_MS.toDouble()) { startLoad() }
        world.time.plan(WARM_UP_MS + LOAD_MS / 2.0) { fail() }
        world.time.run(WARM_UP_MS + LOAD_MS + END_MS)
    }

    private fun fail() {
        if (world.case.lost != null) world.loseRegion()
        if (world.case.drained != null) {
            world.startDrain()
            router.adopt()
        }
    }

    private fun startLoad() {
        for (service in world.document.services) for (zone in world.zones) arrivals(service, zone)
        sample()
    }

    private fun arrivals(service: Service, zone: ZoneName) {
        val slots = world.index.countSlots(service.name, zone)
        val percent = world.case.loadPercent.getValue(world.regionOf(zone))
        val meanGapMs = service.expectedServiceMs * PERCENT.toDouble() / (slots * percent)
        world.time.plan(world.time.exponential(meanGapMs)) {
            if (world.time.nowMs < WARM_UP_MS + LOAD_MS) {
                request(service, zone)
                arrivals(service, zone)
            }
        }
    }

    private fun request(service: Service, zone: ZoneName) {
        val client = "${zone.value}-${world.time.below(CLIENTS_PER_ZONE)}"
        val request =
            PolicyRequest(nextRequest++, service.name, service.isIdempotent, zone, client, DEADLINE_MS)
        val startMs = world.time.nowMs
        val tally = tallies.getValue(service.name)
        tally.offered++
        router.route(request) { end, reason -> tally.note(end, reason, world.time.nowMs - startMs) }
    }

    private fun sample() {
        if (world.time.nowMs < WARM_UP_MS + LOAD_MS) {
            tallies.forEach { (service, tally) -> tally.headroom.note(findFree(service)) }
        }
        val drained = world.servers.filter { world.regionOf(it.place.zone) == world.case.drained }
        world.drainMeter.note(drained.any { it.load > 0 }, world.time.nowMs)
        if (world.time.nowMs < WARM_UP_MS + LOAD_MS + END_MS) world.time.plan(SAMPLE_MS) { sample() }
    }

    /** The free slots of each region in percent; requests that wait at a server count as if they ran. */
    private fun findFree(service: ServiceName): Map<RegionName, Int> =
        world.servers
            .filter { it.place.service == service && it.isUp && !isDrained(it) }
            .groupBy { world.regionOf(it.place.zone) }
            .mapValues { (_, servers) -> freePercent(servers) }

    private fun isDrained(server: FakeServer): Boolean =
        world.index.isDrained(server.place.service, server.place.zone, 0)

    private fun freePercent(servers: List<FakeServer>): Int {
        val slots = servers.sumOf { it.place.slots }
        return (slots - servers.sumOf { it.load }) * PERCENT / slots
    }

    fun countOf(service: Service): PolicyCount {
        val tally = tallies.getValue(service.name)
        return PolicyCount(
            case = world.case.name,
            router = router.name,
            service = service.name.value,
            offered = tally.offered,
            ran = tally.latency.totalCount,
            ranInTime = tally.inTime,
            ends = tally.ends.toSortedMap(),
            medianMs = tally.latency.getValueAtPercentile(MEDIAN),
            p95Ms = tally.latency.getValueAtPercentile(COUNTED_PERCENTILE),
            p99Ms = tally.latency.getValueAtPercentile(VERY_HIGH),
            meanFreePercent = tally.headroom.meanLeastPercent,
            fullestRegionFreePercent = tally.headroom.fullestRegionPercent,
            objective = world.document.objective.name.lowercase(),
            largestCapPercent = world.capMeter.largestPercent,
            leastLinkFreePercent = world.linkMeter.leastFreePercent,
            drainMs = world.drainMeter.tookMs,
        )
    }

    private class Tally {
        val latency = Histogram(LARGEST_MS, DIGITS)
        val ends = HashMap<String, Long>()
        var offered = 0L
        var inTime = 0L
        val headroom = HeadroomMeter()

        fun note(end: PolicyEnd, reason: String, tookMs: Long) {
            if (end == PolicyEnd.RAN) {
                latency.recordValue(tookMs.coerceAtMost(LARGEST_MS))
                if (tookMs <= DEADLINE_MS) inTime++
            } else {
                ends.merge("${end.name.lowercase()} $reason", 1L, Long::plus)
            }
        }
    }
}
