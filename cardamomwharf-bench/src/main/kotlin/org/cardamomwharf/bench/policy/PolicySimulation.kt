/*
 * Simulates the servers and network delays of a deployment in virtual time. Service times are ten times those of the
 * document, which lowers all rates by the same factor and keeps their ratios.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Drain
import org.cardamomwharf.core.document.EnvironmentDocument

/** The factor on service times and deadlines. */
public const val TIME_SCALE: Int = 10

/** Represents the simulated deployment that a router runs in. */
public class PolicySimulation(original: EnvironmentDocument, public val case: PolicyCase, seed: Long) {
    /** The document with scaled service times; the drains of the case are added halfway through the run. */
    public var document: EnvironmentDocument = scale(original)
        private set

    public var index: DocumentIndex = DocumentIndex(document)
        private set

    /** Measures shifted requests against the partner caps. */
    public val capMeter: CapMeter = CapMeter(index)

    /** Measures shifted bytes against the link caps. */
    public val linkMeter: LinkMeter = LinkMeter(index)

    /** Measures the duration of the drain. */
    public val drainMeter: DrainMeter = DrainMeter()

    /** The virtual clock and random source of the run. */
    public val clock: VirtualClock = VirtualClock(seed)

    public val zones: List<ZoneName> = document.regions.flatMap { it.zones }

    public val servers: List<SimulatedServer> = document.services.flatMap { service ->
        service.pools.flatMap { pool ->
            (1..pool.upstreams).map { number ->
                val name = "${service.name.value}-${pool.zone.value}-$number"
                val serviceMs = service.expectedServiceMs.toDouble()
                val config = ServerConfig(name, service.name, pool.zone, pool.slotsPerUpstream, serviceMs)
                SimulatedServer(config, clock, case.isCold)
            }
        }
    }

    public val serversByName: Map<String, SimulatedServer> = servers.associateBy { it.config.name }

    /** The failed region, or null before the failure. */
    public var failedRegion: RegionName? = null
        private set

    /** Returns the one-way delay between two zones. */
    public fun delayMs(from: ZoneName, to: ZoneName): Double = when {
        from == to -> 0.0
        regionOf(from) == regionOf(to) -> document.delays.betweenZonesMs
        else -> document.delays.betweenRegionsMs
    }

    /** Returns the one-way delay between a client near [from] and a zone. */
    public fun clientDelayMs(from: ZoneName, to: ZoneName): Double = document.delays.toClientsMs + delayMs(from, to)

    /** Returns the region of [zone]. */
    public fun regionOf(zone: ZoneName): RegionName = index.regionByZone.getValue(zone).name

    /** Returns whether the region of [zone] has failed. */
    public fun isInFailedRegion(zone: ZoneName): Boolean = failedRegion == regionOf(zone)

    /** Replaces the document by one that drains the region of the case. */
    public fun startDrain() {
        val zones = document.regions.first { it.name == case.drainedRegion }.zones
        document = document.copy(drains = zones.map { Drain(it) })
        index = DocumentIndex(document)
        drainMeter.start(clock.nowMs)
    }

    /** Records a request from a client near [from] against the caps, unless [server] rejects it. */
    public fun recordShift(from: ZoneName, server: SimulatedServer) {
        if (!server.hasRoom) return
        val service = index.services.getValue(server.config.service)
        capMeter.recordRequest(from, server.config.zone, clock.nowMs)
        linkMeter.recordRequest(regionOf(from), regionOf(server.config.zone), service, clock.nowMs)
    }

    /** Returns the load that [server] reports. */
    public fun getReportedLoad(server: SimulatedServer): Int = when {
        !case.isReportFalse -> server.load
        server.config.name.hashCode() % 2 == 0 -> 0
        else -> server.config.slots
    }

    /** Fails all servers in the region of the case. */
    public fun failRegion() {
        failedRegion = case.failedRegion
        servers.filter { isInFailedRegion(it.config.zone) }.forEach { it.isUp = false }
    }
}

private fun scale(original: EnvironmentDocument): EnvironmentDocument = original.copy(
    services = original.services.map { it.copy(expectedServiceMs = it.expectedServiceMs * TIME_SCALE) },
    clientBlocks = emptyList(),
)
