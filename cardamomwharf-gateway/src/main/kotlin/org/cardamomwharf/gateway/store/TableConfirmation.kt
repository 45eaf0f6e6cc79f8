/*
 * Confirms that a cached table was the newest at the time at which the store was asked.
 */
package org.cardamomwharf.gateway.store

/** Follows when the store confirmed a table. */
internal interface TableConfirmation {
    /** True when the store has to be asked although another instance watches it for this one. */
    val isOverdue: Boolean

    /** Returns the time that the next call may wait for changes, which is at most [maxWaitMs]. */
    fun limitWait(maxWaitMs: Long): Long

    /** Called after the answer to a question that was sent to the store at [askedAtMs] was applied. */
    fun onConfirmed(askedAtMs: Long)
}

/** Ignores when a table is confirmed. */
internal object NoTableConfirmation : TableConfirmation {
    override val isOverdue: Boolean = false

    override fun limitWait(maxWaitMs: Long): Long = maxWaitMs

    override fun onConfirmed(askedAtMs: Long) = Unit
}
