/*
 * The graceful shutdown of an instance: its mark goes out at once, new work is taken until cached look-up answers have
 * aged out, and the process ends when nothing is open.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.decision.membership.Membership

/** Returns this membership after a peer closed its connection; silence alone decides whether it is dead. */
internal fun Membership.removeDisconnectedPeer(peer: InstanceName, nowMs: Long): Membership {
    val known = peers[peer] ?: return this
    val isGoneForGood = known.heartbeat.isLeaving && nowMs - known.receivedAtMs >= settings.heartbeatIntervalMs
    return if (isGoneForGood) copy(peers = peers.remove(peer)) else this
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
