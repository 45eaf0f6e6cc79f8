/*
 * Spillover of requests to other regions, for all routes.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RegionChoice
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.ServerRegistry

/** Interval at which the slots of the regions are compared; servers join and leave within seconds. */
private const val SLOT_COMPARISON_INTERVAL_MS = 1_000L

/** Manages the spillover of all routes on this instance. */
public class RegionSpillover(
    private val location: InstanceLocation,
    private val servers: ServerRegistry,
    private val parameters: SteeringParameters,
) {
    private val byRoute = HashMap<String, RouteState>()
    private var slotsComparedAtMs = 0L

    internal fun getForRequest(spec: RequestSpec, nowMs: Long): RouteSpillover {
        val state = byRoute.getOrPut(spec.route.name) {
            val initialCredit = hashToUnitInterval("${location.instance.value}/${spec.route.name}")
            val initialShares = initialSharesFor(spec.service, nowMs)
            val spillover = RouteSpillover(parameters.maxShift, initialShares, initialCredit)
            RouteState(spillover.also { it.keyShares = keySharesOf(spec.service) }, spec.service)
        }
        state.service = spec.service
        return state.spillover
    }

    /**
     * Returns the region whose servers are to cache the key of [spec], or null if that isn't fixed: for requests whose
     * keys save no time, and in regions with enough servers.
     */
    internal fun keyRegionOf(spec: RequestSpec, nowMs: Long): KeyRegion? {
        val spillover = getForRequest(spec, nowMs)
        if (spillover.keyShares.isEmpty()) return null
        return keyPositionOf(spec)?.let { KeyRegion(spillover.regionForKey(it)) }
    }

    /** Moves the spillover shares of each route towards their targets. */
    public fun adjust(nowMs: Long) {
        byRoute.values.forEach { it.spillover.adjust(nowMs) }
        if (nowMs - slotsComparedAtMs >= SLOT_COMPARISON_INTERVAL_MS) {
            slotsComparedAtMs = nowMs
            byRoute.values.forEach { it.spillover.keyShares = keySharesOf(it.service) }
        }
    }

    /** Counts an attempt of a request. */
    public fun recordAttempt(spec: RequestSpec, send: Placement.Send, nowMs: Long) {
        val spillover = getForRequest(spec, nowMs)
        // A request that leaves because its region has no server is not counted as spillover. Otherwise it would use up
        // the spillover credit and prevent spillover after the servers return.
        if (send.choice != RegionChoice.NO_HOME_SERVER) {
            spillover.recordAttempt(send.choice == RegionChoice.LENT, send.region, nowMs)
        }
        val counts = byRoute.getValue(spec.route.name).attemptCounts
        counts.merge(RegionReason(send.region, send.choice), 1, Int::plus)
    }

    /** Returns the spillover of each route, with the attempts since the counts were cleared. */
    public fun reports(): List<SpilloverReport> = byRoute.map { (route, state) ->
        val spillover = state.spillover
        SpilloverReport(route, state.service, spillover.share, spillover.targetShare, state.attemptCounts.toMap())
    }

    /** Clears the attempt counts. */
    public fun clearCounts() {
        byRoute.values.forEach { it.attemptCounts.clear() }
    }

    /**
     * Returns the shares of a new route: those of the busiest route of [service], or, if it has none, those that follow
     * from the slots of the regions.
     */
    private fun initialSharesFor(service: ServiceName, nowMs: Long): Map<RegionName?, Double> =
        byRoute.values.filter { it.service == service && it.spillover.attemptCount(nowMs) > 0 }
            .maxByOrNull { it.spillover.attemptCount(nowMs) }?.spillover?.shares
            ?: sharesBySlots(service)

    /**
     * Returns the shares of the own region's requests for which it lacks slots, for the regions that have more slots
     * than they need, assuming equal request rates in all zones.
     */
    private fun sharesBySlots(service: ServiceName): Map<RegionName?, Double> {
        val eligible = servers.findByService(service).filter { servers.isEligible(it) }
        val totalSlots = eligible.sumOf { it.slots.toLong() }.toDouble()
        val slotShares = eligible.groupBy { it.region }
            .mapValues { (_, group) -> group.sumOf { it.slots.toLong() } / totalSlots }
        val missing = 1.0 - (slotShares[location.region] ?: 0.0) / requestShareOf(location.region)
        val surplus = slotShares.filterKeys { it != location.region }
            .mapValues { (region, share) -> (share - requestShareOf(region)).coerceAtLeast(0.0) }
        val totalSurplus = surplus.values.sum()
        return if (missing > 0.0 && totalSurplus > 0.0) {
            surplus.mapValues { missing * it.value / totalSurplus }
        } else {
            emptyMap()
        }
    }

    /**
     * Returns the shares of the own region's keys that other regions cache if it lacks most of the slots for its share
     * of the requests, or none. All instances of a region agree on them. A region without servers has none either, so
     * that its shares stay as they are until its servers return.
     */
    private fun keySharesOf(service: ServiceName): Map<RegionName?, Double> {
        val shares = sharesBySlots(service)
        val hasServers = servers.findByService(service).any { it.region == location.region && servers.isEligible(it) }
        return if (!hasServers || shares.values.sum() < parameters.keyRegionMinMissingSlots) emptyMap() else shares
    }

    /** Returns the region's share of all requests if all zones get the same. */
    private fun requestShareOf(region: RegionName?): Double =
        location.regions.values.count { it == region }.toDouble() / location.regions.size

    /** Holds the spillover of a route, its latest service, and its attempts since the counts were cleared. */
    private class RouteState(val spillover: RouteSpillover, var service: ServiceName) {
        val attemptCounts = HashMap<RegionReason, Int>()
    }
}
