/*
 * Names the instances that a caller should use: those of its zone, with others of its region where the zone has too few
 * to do without one, and the rest only where the region has none.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName

/** Addresses below which a caller gets more distant ones too, so that one loss leaves it another. */
private const val LEAST_ADDRESSES = 2

/** Returns the instances for a caller in [zone] and [region] from those that are [serving]. */
public fun chooseInstances(
    serving: List<InstanceRecord>,
    regions: Map<ZoneName, RegionName>,
    zone: ZoneName?,
    region: RegionName?,
): List<InstanceRecord> {
    val ofZone = serving.filter { it.zone == zone }
    if (ofZone.size >= LEAST_ADDRESSES) return ofZone
    val home = region ?: regions[zone]
    val ofRegion = serving.filter { home != null && regions[it.zone] == home }
    return ofRegion.ifEmpty { serving }
}
