/*
 * The time that requests and answers spend on the way, by distance.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.Distance

/** There and back inside a zone; network delay inside one building. */
private const val SAME_ZONE_MS = 1.0

/** There and back between zones of a region; the users name about 1.5 ms one way. */
private const val SAME_REGION_MS = 4.0

/** There and back between regions; the users name 12 to 35 ms one way. */
private const val OTHER_REGION_MS = 70.0

/** Returns the time there and back over [distance]. */
internal fun travelMs(distance: Distance): Double = when (distance) {
    Distance.SAME_ZONE -> SAME_ZONE_MS
    Distance.SAME_REGION -> SAME_REGION_MS
    Distance.OTHER_REGION -> OTHER_REGION_MS
}
