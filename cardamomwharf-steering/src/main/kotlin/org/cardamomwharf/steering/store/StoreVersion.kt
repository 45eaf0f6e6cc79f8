/*
 * Versions of the store. A store that is restored from a copy loses its latest versions and gives them out again. Each
 * restore starts another epoch, so a version identifies a state only together with its epoch.
 */
package org.cardamomwharf.steering.store

/**
 * Represents a version of the store; versions of a later epoch are newer, whatever their numbers.
 *
 * @param epoch number of restores of the store, as it states it; 0 when it states none.
 * @param number number of the transaction within the epoch; 0 before the first one.
 */
public data class StoreVersion(public val epoch: Long, public val number: Long) : Comparable<StoreVersion> {
    override fun compareTo(other: StoreVersion): Int = compareValuesBy(this, other, { it.epoch }, { it.number })

    /** Holds the version that nothing has. */
    public companion object {
        /** Version before anything was read. */
        public val NONE: StoreVersion = StoreVersion(0, 0)
    }
}
