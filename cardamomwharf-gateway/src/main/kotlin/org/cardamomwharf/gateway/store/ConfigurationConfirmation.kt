/*
 * Confirms the configuration, so that keys of teams may be used. Each answer of the store to a question about the
 * orders confirms it; other instances confirm it when the store can't be reached.
 */
package org.cardamomwharf.gateway.store

import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.steering.teams.Confirmation
import org.cardamomwharf.steering.teams.ConfirmationTimes

/** Confirms the configuration of [steering], with [times] if there is a bound for withdrawn keys. */
internal class ConfigurationConfirmation(
    private val steering: SynchronizedSteering,
    private val times: ConfirmationTimes?,
) : TableConfirmation {
    /** False while the store holds a configuration that can't be read. */
    @Volatile
    var isReadable = true

    override val isOverdue: Boolean get() = isOlderThan { it.askStoreMs }

    /** True when other instances have to be asked. */
    val isDue: Boolean get() = isOlderThan { it.askPeersMs }

    /** True when other instances must not rely on this one to watch the store. */
    val isUnreliable: Boolean get() = isOlderThan { it.watcherMs }

    /** Returns no time when a confirmation is urgent, because a call that doesn't wait is answered at once. */
    override fun limitWait(maxWaitMs: Long): Long = when {
        times == null -> maxWaitMs
        isUnreliable -> 0
        else -> minOf(maxWaitMs, times.storeWaitMs)
    }

    override fun onConfirmed(askedAtMs: Long) {
        if (times != null && isReadable) steering.withLock { decisions, _ -> decisions.callers.proof.record(askedAtMs) }
    }

    /** Records the [confirmation] of another instance, which was asked for at [askedAtMs]. */
    fun receive(confirmation: Confirmation, askedAtMs: Long) {
        if (isReadable) steering.withLock { decisions, _ -> decisions.callers.confirm(confirmation, askedAtMs) }
    }

    /** Returns what this instance can confirm. */
    fun toSend(): Confirmation? =
        if (times == null) null else steering.withLock { decisions, nowMs -> decisions.callers.confirmation(nowMs) }

    private fun isOlderThan(limit: (ConfirmationTimes) -> Long): Boolean =
        times != null && steering.withLock { decisions, nowMs ->
            decisions.routes.teamKeys.hasTeams && decisions.callers.proof.isOlderThan(limit(times), nowMs)
        }
}
