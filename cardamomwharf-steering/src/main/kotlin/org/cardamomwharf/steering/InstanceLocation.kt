/*
 * Where instances and backend servers are. Requests stay in their own zone and region where that serves them best.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName

/** Represents the zones of a deployment and the instance that decides. */
public data class InstanceLocation(
    public val instance: InstanceName,
    public val zone: ZoneName,
    public val regions: Map<ZoneName, RegionName>,
) {
    /** The region of this instance, or null when its zone isn't listed. */
    public val region: RegionName? = regions[zone]

    /** Returns how far [other] is from this instance. */
    public fun distanceTo(other: ZoneName): Distance = when {
        other == zone -> Distance.SAME_ZONE
        region != null && regions[other] == region -> Distance.SAME_REGION
        else -> Distance.OTHER_REGION
    }
}

/** Represents how far a backend server is. */
public enum class Distance { SAME_ZONE, SAME_REGION, OTHER_REGION }
