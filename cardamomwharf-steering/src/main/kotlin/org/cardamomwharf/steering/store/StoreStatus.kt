/*
 * What an instance tells others about its contact with the store, so that few instances of a zone have to follow it.
 */
package org.cardamomwharf.steering.store

import kotlinx.serialization.Serializable

/** Represents the newest entries that an instance knows. */
@Serializable
public data class ContentVersions(public val orders: Long, public val servers: Long) {
    /** Returns true when something is newer here than in [other]. */
    public fun isAheadOf(other: ContentVersions): Boolean = orders > other.orders || servers > other.servers
}

/**
 * Represents what an instance that follows the store says of it.
 *
 * @param silentForMs time since the store last answered it.
 * @param isFailing true when its latest call failed.
 */
@Serializable
public data class StoreStatus(
    public val content: ContentVersions,
    public val silentForMs: Long,
    public val isFailing: Boolean,
)
