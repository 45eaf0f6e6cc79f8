/*
 * An index over a document for the look-ups that every decision needs: region of a zone, pools by zone, caps on a path.
 */
package org.cardamomwharf.core.document

import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

/** Represents a document with its derived tables. */
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

    /** Links by direction. */
    public val links: Map<Pair<RegionName, RegionName>, Link> = document.links.associateBy { it.from to it.to }

    private val poolsByZone: Map<Pair<ServiceName, ZoneName>, Pool> =
        document.services.flatMap { service -> service.pools.map { (service.name to it.zone) to it } }.toMap()

    private val largestWeight: Int = document.services.maxOfOrNull { it.weight } ?: 0

    /** Returns the pool of [service] in [zone], or null when the service isn't served there. */
    public fun findPool(service: ServiceName, zone: ZoneName): Pool? = poolsByZone[service to zone]

    /** Returns all slots of [service] in [zone]. */
    public fun countSlots(service: ServiceName, zone: ZoneName): Int =
        findPool(service, zone)?.let { it.upstreams * it.slotsPerUpstream } ?: 0

    /** Returns true when [service] has the largest weight of the document. */
    public fun hasLargestWeight(service: Service): Boolean = service.weight == largestWeight

    /** Returns true when [zone] gets no new work of [service] at [epochSeconds]. */
    public fun isDrained(service: ServiceName, zone: ZoneName, epochSeconds: Long): Boolean =
        document.drains.any { drain ->
            drain.zone == zone && (drain.service ?: service) == service && drain.isActive(epochSeconds)
        }
}
