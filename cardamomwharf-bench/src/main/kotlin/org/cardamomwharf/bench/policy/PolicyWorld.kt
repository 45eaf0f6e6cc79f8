/*
 * The servers and delays of a deployment in virtual time. Service times are ten times those of the document, which
 * scales all rates down alike and leaves the ratios as they are.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Drain
import org.cardamomwharf.core.document.EnvironmentDocument

/** The factor on service times and deadlines. */
public const val TIME_SCALE: Int = 10

/** Represents what all routers share. */
public class PolicyWorld(whole: EnvironmentDocument, public val case: PolicyCase, seed: Long) {
    /** The document with its service times scaled; it gets the drains of the case at half time. */
    public var document: EnvironmentDocument = scale(whole)
        private set

    /** The index of the document. */
    public var index: DocumentIndex = DocumentIndex(document)
        private set

    /** Shifted requests against the caps. */
    public val capMeter: CapMeter = CapMeter(index)

    /** Shifted bytes against the links. */
    public val linkMeter: LinkMeter = LinkMeter(index)

    /** How long a drain took. */
    public val drainMeter: DrainMeter = DrainMeter()

    /** The time. */
    public val time: VirtualTime = VirtualTime(seed)

    /** All zones. */
    public val zones: List<ZoneName> = document.regions.flatMap { it.zones }

    /** All backend servers. */
    public val servers: List<FakeServer> = document.services.flatMap { service ->
        service.pools.flatMap { pool ->
            (1..pool.upstreams).map { number ->
                val name = "${service.name.value}-${pool.zone.value}-$number"
                val serviceMs = service.expectedServiceMs.toDouble()
                val place = ServerPlace(name, service.name, pool.zone, pool.slotsPerUpstream, serviceMs)
                FakeServer(place, time, case.isCold)
            }
        }
    }

    /** Servers by name. */
    public val serversByName: Map<String, FakeServer> = servers.associateBy { it.place.name }

    /** The lost region once it is lost. */
    public var lostRegion: RegionName? = null
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

    /** Returns true when the region of [zone] is lost. */
    public fun isLost(zone: ZoneName): Boolean = lostRegion == regionOf(zone)

    /** Accepts a document that drains the region of the case. */
    public fun startDrain() {
        val zones = document.regions.first { it.name == case.drained }.zones
        document = document.copy(drains = zones.map { Drain(it) })
        index = DocumentIndex(document)
        drainMeter.start(time.nowMs)
    }

    /** Notes that [server] takes a request of a client near [from], unless it sheds it. */
    public fun noteShift(from: ZoneName, server: FakeServer) {
        if (!server.hasRoom) return
        val service = index.services.getValue(server.place.service)
        capMeter.note(from, server.place.zone, time.nowMs)
        linkMeter.note(regionOf(from), regionOf(server.place.zone), service, time.nowMs)
    }

    /** Returns the load that [server] reports. */
    public fun reportOf(server: FakeServer): Int = when {
        !case.isLying -> server.load
        server.place.name.hashCode() % 2 == 0 -> 0
        else -> server.place.slots
    }

    /** Lets the region of the case fail. */
    public fun loseRegion() {
        lostRegion = case.lost
        servers.filter { isLost(it.place.zone) }.forEach { it.isUp = false }
    }
}

private fun scale(whole: EnvironmentDocument): EnvironmentDocument = whole.copy(
    services = whole.services.map { it.copy(expectedServiceMs = it.expectedServiceMs * TIME_SCALE) },
    clientBlocks = emptyList(),
)
