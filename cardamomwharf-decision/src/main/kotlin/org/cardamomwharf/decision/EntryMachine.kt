/*
 * The one entrance to the decisions: (state, event, now) -> (state, effects). It has no clock, thread, socket or random
 * source; the process around it is its shell.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.decision.caps.borrow
import org.cardamomwharf.decision.caps.lend
import org.cardamomwharf.decision.claims.expireClaims
import org.cardamomwharf.decision.claims.noteExpired
import org.cardamomwharf.decision.membership.applyList
import org.cardamomwharf.decision.membership.changesOwnership
import org.cardamomwharf.decision.membership.hear
import org.cardamomwharf.decision.membership.isLapsed
import org.cardamomwharf.decision.membership.run
import org.cardamomwharf.decision.ownership.Ownership
import org.cardamomwharf.decision.requests.admit
import org.cardamomwharf.decision.requests.endAttempt
import org.cardamomwharf.decision.requests.expireDeadlines
import org.cardamomwharf.decision.requests.forgetCaller
import org.cardamomwharf.decision.requests.handOverWaiting
import org.cardamomwharf.decision.requests.hold
import org.cardamomwharf.decision.requests.payHeldAnswers
import org.cardamomwharf.decision.requests.readDueClaims
import org.cardamomwharf.decision.requests.settleClaim
import org.cardamomwharf.decision.requests.wakeWaiting
import org.cardamomwharf.decision.servers.applyList
import org.cardamomwharf.decision.servers.change
import org.cardamomwharf.decision.servers.hear

private const val OWNERSHIP_INTERVAL_MS = 250L

/** Returns the state after [event] at [nowMs] on the monotonic clock, with the effects in order. */
public fun step(state: EntryState, event: EntryEvent, nowMs: Long): EntryStep {
    val turn = Turn(state, nowMs)
    turn.resume()
    turn.handle(event)
    return EntryStep(turn.state, turn.effects)
}

/** Gives up what was owned when this process was paused for longer than its lease. */
private fun Turn.resume() {
    if (state.membership.isLapsed(nowMs)) {
        state = state.copy(ownership = Ownership())
        adjustLedger()
    }
    state = state.copy(membership = state.membership.run(nowMs))
}

private fun Turn.handle(event: EntryEvent): Unit = when (event) {
    is EntryEvent.Tick -> tick(event)
    is EntryEvent.HeadRead, is EntryEvent.DocumentFetched, is EntryEvent.DocumentMissed -> follow(event)
    is EntryEvent.ListRead -> readList(event)
    is EntryEvent.HeartbeatHeard, is EntryEvent.SummaryHeard, is EntryEvent.PeerClosed -> listen(event)
    is EntryEvent.LoadHeard -> hearLoad(event)
    is EntryEvent.LoanAsked -> answerLoan(event)
    is EntryEvent.LoanAnswered -> state = state.copy(ledger = state.ledger.borrow(event.grant, nowMs))
    is EntryEvent.RequestArrived -> admit(event.spec)
    is EntryEvent.ClaimAnswered, is EntryEvent.ClaimsExpired -> hearStore(event)
    is EntryEvent.AttemptEnded -> endAttempt(event.attempt, event.result)
    is EntryEvent.CreditAsked -> hold(event.attempt, event.missingBytes)
    is EntryEvent.CallerGone -> forgetCaller(event.request)
    is EntryEvent.LeaveAsked -> leave()
}

private fun Turn.tick(event: EntryEvent.Tick) {
    state = state.copy(epochSeconds = event.epochSeconds)
    expireDeadlines()
    readDueClaims()
    expireClaims()
    payHeldAnswers()
    if (nowMs - state.ownershipAtMs >= OWNERSHIP_INTERVAL_MS) advanceOwnership()
    advanceShifts()
    wakeWaiting()
    handOverWaiting()
    sendHeartbeats()
    exitWhenDone()
}

private fun Turn.readList(event: EntryEvent.ListRead) {
    val zone = state.membership.self.zone
    state = state.copy(
        membership = state.membership.applyList(event.instances, nowMs),
        servers = state.servers.applyList(event.servers.filter { it.zone == zone }, nowMs),
    )
    advanceOwnership()
    wakeWaiting()
}

private fun Turn.listen(event: EntryEvent) {
    val membership = state.membership
    when (event) {
        is EntryEvent.HeartbeatHeard -> {
            val known = membership.peers[event.heartbeat.sender.name]?.heartbeat
            state = state.copy(
                membership = membership.hear(event.heartbeat, nowMs),
                suspects = state.suspects.clear(event.heartbeat.sender.name),
            )
            if (known == null || event.heartbeat.changesOwnership(known)) advanceOwnership()
        }
        is EntryEvent.SummaryHeard -> {
            state = state.copy(membership = membership.hear(event.summary, nowMs))
            if (event.isPassedOn) notePassedOn(event.summary) else passOn(event.summary)
        }
        is EntryEvent.PeerClosed -> state = state.copy(membership = membership.closePeer(event.peer, nowMs))
        else -> Unit
    }
    followPeers()
}

private fun Turn.hearStore(event: EntryEvent) {
    when (event) {
        is EntryEvent.ClaimAnswered -> settleClaim(event.request, event.reply)
        is EntryEvent.ClaimsExpired -> noteExpired(event.rows)
        else -> Unit
    }
}

private fun Turn.hearLoad(event: EntryEvent.LoadHeard) {
    val next = state.servers.change(event.server) { it.hear(event.report, nowMs) }
    state = state.copy(servers = next)
    wakeWaiting()
}

private fun Turn.answerLoan(event: EntryEvent.LoanAsked) {
    val lent = state.ledger.lend(event.request, state.membership.self.name, nowMs)
    state = state.copy(ledger = lent.ledger)
    add(EntryEffect.AnswerLoan(event.request.borrower, lent.grant))
}
