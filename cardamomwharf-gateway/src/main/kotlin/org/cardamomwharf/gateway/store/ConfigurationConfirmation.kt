/*
 * Confirms the configuration, so that keys of teams may be used. Each answer of the store to a question about the
 * orders confirms it; other instances confirm it when the store can't be reached.
 */
package org.cardamomwharf.gateway.store

import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.gateway.peers.ConfirmationExchange
import org.cardamomwharf.steering.teams.Confirmation
import org.cardamomwharf.steering.teams.ConfirmationTimes

/** Confirms the configuration of [steering], with [times] if there is a bound for withdrawn keys. */
internal class ConfigurationConfirmation(
    private val steering: SynchronizedSteering,
    private val times: ConfirmationTimes?,
) : ConfirmationExchange {
    /** False while the store holds a configuration that can't be read. */
    @Volatile
    var isReadable = true

    /** True when the store has to be asked although another instance watches it for this one. */
    val isOverdue: Boolean get() = isOlderThan { it.askStoreMs }

    /** True when other instances have to be asked. */
    val isDue: Boolean get() = isOlderThan { it.askPeersMs }

    /** True when other instances must not rely on this one to watch the store. */
    val isUnreliable: Boolean get() = isOlderThan { it.watcherMs }

    /**
     * Returns the time that the next call may wait for changes, which is at most [maxWaitMs]; none when a confirmation
     * is urgent, because a call that doesn't wait is answered at once.
     */
    fun limitWait(maxWaitMs: Long): Long = when {
        times == null -> maxWaitMs
        isUnreliable -> 0
        else -> minOf(maxWaitMs, times.storeWaitMs)
    }

    /** Records that the store answered a question about the orders that was sent at [askedAtMs]. */
    fun onStoreAnswer(askedAtMs: Long) {
        if (times != null && isReadable) steering.withLock { decisions, _ -> decisions.callers.proof.record(askedAtMs) }
    }

    override fun receive(confirmation: Confirmation, askedAtMs: Long) {
        if (isReadable) steering.withLock { decisions, _ -> decisions.callers.confirm(confirmation, askedAtMs) }
    }

    override fun toSend(): Confirmation? =
        if (times == null) null else steering.withLock { decisions, nowMs -> decisions.callers.confirmation(nowMs) }

    private fun isOlderThan(limit: (ConfirmationTimes) -> Long): Boolean =
        times != null && steering.withLock { decisions, nowMs ->
            decisions.routes.teamKeys.hasTeams && decisions.callers.proof.isOlderThan(limit(times), nowMs)
        }
}
