/*
 * The baselines: the nearest zone only, a random zone, and the zone that a lagging report says is least loaded. Each
 * sends straight to a random server of the zone and tries again at once when it was shed.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

private const val SHED = "server-refused"

/** Returns the baselines in [world]. */
public fun baselinesOf(world: PolicyWorld): List<Router> = listOf(
    Baseline("nearest zone", world) { request, _ -> request.zone },
    Baseline(
        "random zone",
        world
    ) { request, candidates -> candidates[world.time.below(candidates.size)] ?: request.zone },
    LeastLoaded(world),
)

private open class Baseline(
    override val name: String,
    protected val world: PolicyWorld,
    private val choose: (PolicyRequest, List<ZoneName>) -> ZoneName,
) : Router {
    override fun route(request: PolicyRequest, onEnd: (PolicyEnd, String) -> Unit) {
        attempt(request, world.case.clientTries, onEnd)
    }

    private fun attempt(request: PolicyRequest, triesLeft: Int, onEnd: (PolicyEnd, String) -> Unit) {
        val zones = candidates(request.service)
        val zone = choose(request, zones)
        val servers = world.servers.filter { it.place.zone == zone && it.place.service == request.service }
        val server = servers[world.time.below(servers.size)]
        val delayMs = world.clientDelayMs(request.zone, zone)
        world.time.plan(delayMs) {
            world.noteShift(request.zone, server)
            server.take { hasRun -> world.time.plan(delayMs) { end(hasRun, request, triesLeft, onEnd) } }
        }
    }

    private fun end(hasRun: Boolean, request: PolicyRequest, triesLeft: Int, onEnd: (PolicyEnd, String) -> Unit) {
        when {
            hasRun -> onEnd(PolicyEnd.RAN, "answered")
            triesLeft > 1 -> attempt(request, triesLeft - 1, onEnd)
            else -> onEnd(PolicyEnd.NOT_RUN, SHED)
        }
    }

    private fun candidates(service: ServiceName): List<ZoneName> =
        world.zones.filter { world.index.findPool(service, it) != null && !world.index.isDrained(service, it, 0) }
}

private class LeastLoaded(world: PolicyWorld, private val reports: LaggingReports = LaggingReports(world)) :
    Baseline("least loaded by report", world, { request, zones -> reports.leastLoaded(request.service, zones) }) {
    override fun start() {
        reports.start()
    }
}

/** Represents load reports that arrive late. */
private class LaggingReports(private val world: PolicyWorld) {
    private var seen: Map<Pair<ServiceName, ZoneName>, Double> = emptyMap()

    fun start() {
        val measured = measure()
        world.time.plan(world.case.reportLagMs.toDouble()) {
            seen = measured
            start()
        }
    }

    fun leastLoaded(service: ServiceName, zones: List<ZoneName>): ZoneName =
        zones.minBy { seen[service to it] ?: 0.0 }

    private fun measure(): Map<Pair<ServiceName, ZoneName>, Double> =
        world.servers.groupBy { it.place.service to it.place.zone }
            .mapValues { (_, servers) ->
                servers.sumOf { world.reportOf(it) } / servers.sumOf { it.place.slots }.toDouble()
            }
}
