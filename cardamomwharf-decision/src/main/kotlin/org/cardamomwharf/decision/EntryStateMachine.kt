/*
 * Implements the state machine of an entry instance: (state, event, now) -> (state, effects). It uses no clock, thread,
 * socket or source of randomness; the surrounding process supplies the events and carries out the effects.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.decision.caps.borrow
import org.cardamomwharf.decision.caps.lend
import org.cardamomwharf.decision.claims.expireClaims
import org.cardamomwharf.decision.claims.scheduleNextExpiry
import org.cardamomwharf.decision.membership.applyList
import org.cardamomwharf.decision.membership.changesOwnership
import org.cardamomwharf.decision.membership.isLeaseExpired
import org.cardamomwharf.decision.membership.recordHeartbeat
import org.cardamomwharf.decision.membership.recordRun
import org.cardamomwharf.decision.membership.recordSummary
import org.cardamomwharf.decision.ownership.Ownership
import org.cardamomwharf.decision.requests.admit
import org.cardamomwharf.decision.requests.chargeHeldResponses
import org.cardamomwharf.decision.requests.dispatchWaiting
import org.cardamomwharf.decision.requests.endAttempt
import org.cardamomwharf.decision.requests.expireDeadlines
import org.cardamomwharf.decision.requests.handOverWaiting
import org.cardamomwharf.decision.requests.handleCallerDisconnect
import org.cardamomwharf.decision.requests.handleClaimReply
import org.cardamomwharf.decision.requests.holdResponse
import org.cardamomwharf.decision.requests.readDueClaims
import org.cardamomwharf.decision.servers.applyList
import org.cardamomwharf.decision.servers.recordLoadReport
import org.cardamomwharf.decision.servers.update

private const val OWNERSHIP_INTERVAL_MS = 250L

/** Returns the state after [event] at [nowMs], a time of the monotonic clock, and the effects in order. */
public fun step(state: EntryState, event: EntryEvent, nowMs: Long): EntryStep {
    val context = StepContext(state, nowMs)
    context.checkLease()
    context.handle(event)
    return EntryStep(context.state, context.effects)
}

/** Drops all ownership if this process was paused for longer than its lease. */
private fun StepContext.checkLease() {
    if (state.membership.isLeaseExpired(nowMs)) {
        state = state.copy(ownership = Ownership())
        adjustCapLimiter()
    }
    state = state.copy(membership = state.membership.recordRun(nowMs))
}

private fun StepContext.handle(event: EntryEvent): Unit = when (event) {
    is EntryEvent.Tick -> tick(event)
    is EntryEvent.HeadRead, is EntryEvent.DocumentFetched, is EntryEvent.DocumentFetchFailed ->
        handleDocumentEvent(event)
    is EntryEvent.PlatformListRead -> applyPlatformList(event)
    is EntryEvent.HeartbeatReceived, is EntryEvent.SummaryReceived, is EntryEvent.PeerDisconnected ->
        handlePeerEvent(event)
    is EntryEvent.LoadReported -> recordLoadReport(event)
    is EntryEvent.LoanRequested -> replyToLoanRequest(event)
    is EntryEvent.LoanReplyReceived -> state = state.copy(capLimiter = state.capLimiter.borrow(event.grant, nowMs))
    is EntryEvent.RequestArrived -> admit(event.spec)
    is EntryEvent.ClaimReplyReceived, is EntryEvent.ClaimsExpired -> handleStoreEvent(event)
    is EntryEvent.AttemptEnded -> endAttempt(event.attempt, event.result)
    is EntryEvent.CreditRequested -> holdResponse(event.attempt, event.missingBytes)
    is EntryEvent.CallerDisconnected -> handleCallerDisconnect(event.request)
    is EntryEvent.LeaveRequested -> startShutdown()
}

private fun StepContext.tick(event: EntryEvent.Tick) {
    state = state.copy(epochSeconds = event.epochSeconds)
    expireDeadlines()
    readDueClaims()
    expireClaims()
    chargeHeldResponses()
    if (nowMs - state.ownershipUpdatedAtMs >= OWNERSHIP_INTERVAL_MS) advanceOwnership()
    advanceShifts()
    dispatchWaiting()
    handOverWaiting()
    sendHeartbeats()
    exitWhenIdle()
}

private fun StepContext.applyPlatformList(event: EntryEvent.PlatformListRead) {
    val zone = state.membership.self.zone
    state = state.copy(
        membership = state.membership.applyList(event.instances, nowMs),
        servers = state.servers.applyList(event.servers.filter { it.zone == zone }, nowMs),
    )
    advanceOwnership()
    dispatchWaiting()
}

private fun StepContext.handlePeerEvent(event: EntryEvent) {
    val membership = state.membership
    when (event) {
        is EntryEvent.HeartbeatReceived -> {
            val known = membership.peers[event.heartbeat.sender.name]?.heartbeat
            state = state.copy(
                membership = membership.recordHeartbeat(event.heartbeat, nowMs),
                suspects = state.suspects.clear(event.heartbeat.sender.name),
            )
            if (known == null || event.heartbeat.changesOwnership(known)) advanceOwnership()
        }
        is EntryEvent.SummaryReceived -> {
            state = state.copy(membership = membership.recordSummary(event.summary, nowMs))
            if (event.isRelayed) recordSummaryRelay(event.summary) else relaySummary(event.summary)
        }
        is EntryEvent.PeerDisconnected ->
            state = state.copy(membership = membership.removeDisconnectedPeer(event.peer, nowMs))
        else -> Unit
    }
    fetchNewerDocumentFromPeer()
}

private fun StepContext.handleStoreEvent(event: EntryEvent) {
    when (event) {
        is EntryEvent.ClaimReplyReceived -> handleClaimReply(event.request, event.reply)
        is EntryEvent.ClaimsExpired -> scheduleNextExpiry(event.rows)
        else -> Unit
    }
}

private fun StepContext.recordLoadReport(event: EntryEvent.LoadReported) {
    val next = state.servers.update(event.server) { it.recordLoadReport(event.report, nowMs) }
    state = state.copy(servers = next)
    dispatchWaiting()
}

private fun StepContext.replyToLoanRequest(event: EntryEvent.LoanRequested) {
    val lent = state.capLimiter.lend(event.request, state.membership.self.name, nowMs)
    state = state.copy(capLimiter = lent.limiter)
    emit(EntryEffect.ReplyToLoanRequest(event.request.borrower, lent.grant))
}
