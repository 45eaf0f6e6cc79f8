/*
 * The location of an instance and its distance to other zones. Used to keep requests in their own zone and region where
 * that gives the fastest response.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName

/** Represents the zone of an instance and the regions of all zones of the deployment. */
public data class InstanceLocation(
    public val instance: InstanceName,
    public val zone: ZoneName,
    public val regions: Map<ZoneName, RegionName>,
) {
    /** The region of this instance, or null when its zone isn't listed. */
    public val region: RegionName? = regions[zone]

    /** Returns the distance from this instance to the zone [other]. */
    public fun distanceTo(other: ZoneName): Distance = when {
        other == zone -> Distance.SAME_ZONE
        region != null && regions[other] == region -> Distance.SAME_REGION
        else -> Distance.OTHER_REGION
    }
}

/** Represents the distance between an instance and a backend server. */
public enum class Distance { SAME_ZONE, SAME_REGION, OTHER_REGION }
