/*
 * Implements the graceful shutdown of an instance. It announces at once that it is leaving, accepts new requests until
 * cached look-up responses have expired, and exits when no requests are open.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.decision.membership.Membership

/**
 * Returns this membership after [peer] closed its connection. A leaving peer is removed if its last heartbeat is at
 * least one interval old; any other peer counts as failed only when its heartbeats stop.
 */
internal fun Membership.removeDisconnectedPeer(peer: InstanceName, nowMs: Long): Membership {
    val known = peers[peer] ?: return this
    val hasLeft = known.heartbeat.isLeaving && nowMs - known.receivedAtMs >= settings.heartbeatIntervalMs
    return if (hasLeft) copy(peers = peers.remove(peer)) else this
}

internal fun StepContext.startShutdown() {
    if (state.leave != null) return
    val cacheTtlMs = index?.document?.services?.maxOfOrNull { it.cacheTtlMs } ?: 0
    val acceptsUntilMs = nowMs + maxOf(cacheTtlMs, policy.leaveGraceMs)
    state = state.copy(
        leave = LeaveState(nowMs, acceptsUntilMs),
        membership = state.membership.copy(isLeaving = true),
    )
    advanceOwnership()
    state = state.copy(heartbeats = state.heartbeats.copy(sentAtMs = Long.MIN_VALUE / 2))
    sendHeartbeats()
}

internal fun StepContext.exitWhenIdle() {
    val leave = state.leave ?: return
    val isIdle = state.requests.open.isEmpty() && state.requests.attempts.isEmpty()
    if (nowMs >= leave.acceptsUntilMs && isIdle) emit(EntryEffect.Exit)
}
