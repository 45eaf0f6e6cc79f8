/*
 * The region whose servers are to cache a key, for instances in a region with few servers.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.steering.requests.RequestSpec

/**
 * Represents the position of a key, which is the same on every instance.
 *
 * @param leaving share of requests that leave the region from which on the key leaves, between 0 and 1.
 * @param region position among the other regions, between 0 and 1, weighted by their shares.
 */
internal data class KeyPosition(val leaving: Double, val region: Double)

/** Returns the position of the request's key, or null for a request whose key saves no time. */
internal fun keyPositionOf(spec: RequestSpec): KeyPosition? = spec.affinityKey?.takeIf { spec.route.isSticky }?.let {
    val key = "${spec.service.value}/$it"
    KeyPosition(hashToUnitInterval("$key/leaving"), hashToUnitInterval("$key/region"))
}

/**
 * Represents the region whose servers are to cache a key.
 *
 * @param otherRegion region other than the instance's, or null for the instance's own one.
 */
internal data class KeyRegion(val otherRegion: RegionName?)

/**
 * Represents the place of a server for a key.
 *
 * @param rank rank of the server for the key within its region; 0 is the first choice.
 * @param keyRegion region of the key, or null if it has none.
 */
internal data class KeyPlace(val rank: Int, val keyRegion: KeyRegion?)
