/*
 * Store status that instances exchange, so that only few instances of a zone have to watch the store.
 */
package org.cardamomwharf.steering.store

/** Represents the latest entry versions known to an instance. */
public data class ContentVersions(public val orders: StoreVersion, public val servers: StoreVersion) {
    /** Returns true when any of these versions is newer than in [other]. */
    public fun isAheadOf(other: ContentVersions): Boolean = orders > other.orders || servers > other.servers
}

/**
 * Represents the status of the store as seen by an instance that watches it.
 *
 * @param silentForMs time since the last response of the store.
 * @param isFailing true when the latest call failed.
 */
public data class StoreStatus(
    public val content: ContentVersions,
    public val silentForMs: Long,
    public val isFailing: Boolean,
)
