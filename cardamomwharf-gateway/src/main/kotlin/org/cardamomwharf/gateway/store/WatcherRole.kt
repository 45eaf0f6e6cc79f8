/*
 * The role of this instance in watching the store.
 */
package org.cardamomwharf.gateway.store

internal interface WatcherRole {
    /** Returns true when this instance has to watch the store itself. */
    fun isWatcher(): Boolean

    /** Called after each failed call to the store. */
    fun onStoreUnavailable()

    /** Returns the time that the next call may wait for changes, which is at most [maxWaitMs]. */
    fun limitWait(maxWaitMs: Long): Long = maxWaitMs

    /** Called after the answer to a question that was sent to the store at [askedAtMs] was applied. */
    fun onAnswerApplied(askedAtMs: Long) = Unit
}
