/*
 * The baseline routers: nearest zone, random zone, and the zone with the least load according to delayed reports. Each
 * sends directly to a random server of the zone and retries at once if the server rejects the request.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

private const val REFUSED_REASON = "server-refused"

/** Returns the baseline routers for [simulation]. */
public fun createBaselines(simulation: PolicySimulation): List<Router> = listOf(
    Baseline("nearest zone", simulation) { request, _ -> request.zone },
    Baseline(
        "random zone",
        simulation
    ) { request, candidates -> candidates[simulation.clock.randomInt(candidates.size)] ?: request.zone },
    LeastLoaded(simulation),
)

private open class Baseline(
    override val name: String,
    protected val simulation: PolicySimulation,
    private val choose: (PolicyRequest, List<ZoneName>) -> ZoneName,
) : Router {
    override fun route(request: PolicyRequest, onResult: (RequestResult, String) -> Unit) {
        attempt(request, simulation.case.clientAttempts, onResult)
    }

    private fun attempt(request: PolicyRequest, attemptsLeft: Int, onResult: (RequestResult, String) -> Unit) {
        val zones = findCandidateZones(request.service)
        val zone = choose(request, zones)
        val servers = simulation.servers.filter { it.config.zone == zone && it.config.service == request.service }
        val server = servers[simulation.clock.randomInt(servers.size)]
        val delayMs = simulation.clientDelayMs(request.zone, zone)
        simulation.clock.schedule(delayMs) {
            simulation.recordShift(request.zone, server)
            server.submit { hasRun ->
                simulation.clock.schedule(delayMs) { complete(hasRun, request, attemptsLeft, onResult) }
            }
        }
    }

    private fun complete(
        hasRun: Boolean,
        request: PolicyRequest,
        attemptsLeft: Int,
        onResult: (RequestResult, String) -> Unit,
    ) {
        when {
            hasRun -> onResult(RequestResult.RAN, "answered")
            attemptsLeft > 1 -> attempt(request, attemptsLeft - 1, onResult)
            else -> onResult(RequestResult.NOT_RUN, REFUSED_REASON)
        }
    }

    private fun findCandidateZones(service: ServiceName): List<ZoneName> =
        simulation.zones.filter {
            simulation.index.findPool(service, it) != null && !simulation.index.isDrained(service, it, 0)
        }
}

private class LeastLoaded(
    simulation: PolicySimulation,
    private val reports: DelayedReports = DelayedReports(simulation),
) : Baseline(
    "least loaded by report",
    simulation,
    { request, zones -> reports.findLeastLoaded(request.service, zones) },
) {
    override fun start() {
        reports.start()
    }
}

/** Represents load reports that arrive after the configured delay. */
private class DelayedReports(private val simulation: PolicySimulation) {
    private var latest: Map<Pair<ServiceName, ZoneName>, Double> = emptyMap()

    fun start() {
        val measured = measure()
        simulation.clock.schedule(simulation.case.reportLagMs.toDouble()) {
            latest = measured
            start()
        }
    }

    fun findLeastLoaded(service: ServiceName, zones: List<ZoneName>): ZoneName =
        zones.minBy { latest[service to it] ?: 0.0 }

    private fun measure(): Map<Pair<ServiceName, ZoneName>, Double> =
        simulation.servers.groupBy { it.config.service to it.config.zone }
            .mapValues { (_, servers) ->
                servers.sumOf { simulation.getReportedLoad(it) } / servers.sumOf { it.config.slots }.toDouble()
            }
}
