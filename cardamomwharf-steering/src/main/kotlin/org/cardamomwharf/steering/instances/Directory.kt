/*
 * Names the instances that a caller should use: those of its zone, with others of its region where the zone has too few
 * to do without one, and the rest only where the region has none.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName

/** Addresses below which a caller gets more distant ones too, so that one loss leaves it another. */
private const val MIN_ADDRESSES = 2

/** Represents how far from a caller the instances are that it is named. */
public enum class DirectoryScope(public val code: String) {
    /** Those of its zone. */
    ZONE("zone"),

    /** Those of its region, since its zone has too few. */
    REGION("region"),

    /** All, since its region has none. */
    ALL("all"),
}

/** Represents the [instances] that a caller is named. */
public data class DirectoryChoice(public val scope: DirectoryScope, public val instances: List<InstanceRecord>)

/** Returns the instances for a caller in [zone] and [region] from those that are [serving]. */
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
