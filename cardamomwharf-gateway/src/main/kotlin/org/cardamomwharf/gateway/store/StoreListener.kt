/*
 * Notifications about changes in the store.
 */
package org.cardamomwharf.gateway.store

import org.cardamomwharf.steering.desired.CallerLimits

/** Receives the changes in the store that concern more than steering. */
internal interface StoreListener {
    /** Called when new limits for callers take effect. */
    fun onCallerLimits(limits: CallerLimits)

    /** Called after each change. */
    fun onChange()
}
