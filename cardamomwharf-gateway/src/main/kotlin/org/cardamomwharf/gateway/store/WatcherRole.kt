/*
 * The role of this instance in watching the store.
 */
package org.cardamomwharf.gateway.store

internal interface WatcherRole {
    /** Returns true when this instance has to watch the store itself. */
    fun isWatcher(): Boolean

    /** Called after each failed call to the store. */
    fun onStoreUnavailable()
}
