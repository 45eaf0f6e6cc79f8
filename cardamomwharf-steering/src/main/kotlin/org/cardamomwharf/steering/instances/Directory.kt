/*
 * Selects the instances returned to a caller by the directory: those of its zone, those of its region when the zone has
 * too few for failover, and all instances when the region has none.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName

/**
 * Minimum number of instances in the zone; with fewer, the caller also receives those of its region, so that it can
 * fail over.
 */
private const val MIN_ADDRESSES = 2

/** Represents the scope of the instances returned to a caller. */
public enum class DirectoryScope(public val code: String) {
    /** Instances of the caller's zone. */
    ZONE("zone"),

    /** Instances of the caller's region, because its zone has too few. */
    REGION("region"),

    /** All instances, because the caller's region has none. */
    ALL("all"),
}

/** Represents the [instances] returned to a caller. */
public data class DirectoryChoice(public val scope: DirectoryScope, public val instances: List<InstanceRecord>)

/** Selects the instances for a caller in [zone] and [region] from the [serving] ones. */
public fun chooseInstances(
    serving: List<InstanceRecord>,
    regions: Map<ZoneName, RegionName>,
    zone: ZoneName?,
    region: RegionName?,
): DirectoryChoice {
    val inZone = serving.filter { it.zone == zone }
    if (inZone.size >= MIN_ADDRESSES) return DirectoryChoice(DirectoryScope.ZONE, inZone)
    val ownRegion = region ?: regions[zone]
    val inRegion = serving.filter { ownRegion != null && regions[it.zone] == ownRegion }
    return if (inRegion.isEmpty()) {
        DirectoryChoice(DirectoryScope.ALL, serving)
    } else {
        DirectoryChoice(DirectoryScope.REGION, inRegion)
    }
}
