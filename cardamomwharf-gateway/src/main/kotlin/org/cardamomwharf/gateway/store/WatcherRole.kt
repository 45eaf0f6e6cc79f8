/*
 * What a watcher asks about its part among the instances.
 */
package org.cardamomwharf.gateway.store

internal interface WatcherRole {
    /** Returns true when this instance has to follow the store itself. */
    fun isWatcher(): Boolean

    /** Is called after each failed call to the store. */
    fun onStoreUnavailable()
}
