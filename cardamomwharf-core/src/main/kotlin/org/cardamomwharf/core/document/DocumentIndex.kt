/*
 * An index of a document for the lookups that decisions need: the region of a zone, the pools of a zone, links.
 */
package org.cardamomwharf.core.document

import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

/** Represents a document with the tables derived from it. */
public class DocumentIndex(public val document: EnvironmentDocument) {
    /** Services by name. */
    public val services: Map<ServiceName, Service> = document.services.associateBy { it.name }

    /** The region of each zone. */
    public val regionByZone: Map<ZoneName, Region> =
        document.regions.flatMap { region -> region.zones.map { it to region } }.toMap()

    /** Regions by name. */
    public val regions: Map<RegionName, Region> = document.regions.associateBy { it.name }

    /** Partners by name. */
    public val partners: Map<PartnerName, Partner> = document.partners.associateBy { it.name }

    /** Links by source and destination region. */
    public val links: Map<Pair<RegionName, RegionName>, Link> = document.links.associateBy { it.from to it.to }

    private val poolsByZone: Map<Pair<ServiceName, ZoneName>, Pool> =
        document.services.flatMap { service -> service.pools.map { (service.name to it.zone) to it } }.toMap()

    private val largestWeight: Int = document.services.maxOfOrNull { it.weight } ?: 0

    /** Returns the pool of [service] in [zone], or null when the service isn't served there. */
    public fun findPool(service: ServiceName, zone: ZoneName): Pool? = poolsByZone[service to zone]

    /** Returns the number of slots of [service] in [zone]. */
    public fun countSlots(service: ServiceName, zone: ZoneName): Int =
        findPool(service, zone)?.let { it.upstreams * it.slotsPerUpstream } ?: 0

    /** Returns true when no service of the document has a larger weight than [service]. */
    public fun hasLargestWeight(service: Service): Boolean = service.weight == largestWeight

    /** Returns true when a drain keeps new requests of [service] away from [zone] at [epochSeconds]. */
    public fun isDrained(service: ServiceName, zone: ZoneName, epochSeconds: Long): Boolean =
        document.drains.any { drain ->
            drain.zone == zone && (drain.service ?: service) == service && drain.isActive(epochSeconds)
        }
}
