/*
 * The role of this instance in watching the orders, whose calls also confirm the configuration.
 */
package org.cardamomwharf.gateway.store

/** Extends [role]: the store is also asked when the configuration has to be confirmed. */
internal class ConfirmingRole(
    private val role: WatcherRole,
    private val confirmation: ConfigurationConfirmation,
) : WatcherRole by role {
    override fun isWatcher(): Boolean = role.isWatcher() || confirmation.isOverdue

    override fun limitWait(maxWaitMs: Long): Long = confirmation.limitWait(maxWaitMs)

    override fun onAnswerApplied(askedAtMs: Long) = confirmation.onStoreAnswer(askedAtMs)
}
