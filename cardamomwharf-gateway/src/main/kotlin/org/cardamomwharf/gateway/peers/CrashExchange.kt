/*
 * Exchanges with other instances what is known about requests that crash backend servers, and logs which of them are
 * blocked.
 */
package org.cardamomwharf.gateway.peers

import kotlinx.serialization.json.put
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.metrics.GatewayMetrics
import org.cardamomwharf.steering.crashes.BlockChange
import org.cardamomwharf.steering.crashes.CrashMessage
import org.cardamomwharf.steering.crashes.OutgoingCrashMessage

internal class CrashExchange(
    private val steering: SynchronizedSteering,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    /** Returns the messages to send at once. */
    fun takeOutgoing(): List<OutgoingCrashMessage> {
        val (messages, changes) = steering.withLock { decisions, _ ->
            decisions.crashingRequests.outbox.run { takeMessages() to takeChanges() }
        }
        changes.forEach(::record)
        return messages
    }

    /** Returns the message that regular heartbeats carry, or null when no request is blocked. */
    fun regularMessage(): CrashMessage? =
        steering.withLock { decisions, nowMs -> decisions.crashingRequests.regularMessage(nowMs) }

    /** Processes a message of another instance. */
    fun receive(message: CrashMessage) =
        steering.withLock { decisions, nowMs -> decisions.crashingRequests.receive(message, nowMs) }

    private fun record(change: BlockChange) {
        metrics.countBlock(if (change.isBlocked) "blocked" else "lifted")
        log.event(if (change.isBlocked) "request-blocked" else "request-unblocked") {
            put("fingerprint", change.fingerprint.toULong().toString(HEXADECIMAL))
            put("remainingMs", change.remainingMs)
        }
    }

    private companion object {
        const val HEXADECIMAL = 16
    }
}
