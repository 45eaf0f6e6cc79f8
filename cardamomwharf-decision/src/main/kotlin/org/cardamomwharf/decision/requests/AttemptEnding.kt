/*
 * Ends attempts. The result of an attempt says whether a byte was sent; that alone decides whether the request may be
 * tried again.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.Turn
import org.cardamomwharf.decision.servers.endRequest
import org.cardamomwharf.decision.servers.recordFailure
import org.cardamomwharf.decision.servers.recordRefusal
import org.cardamomwharf.decision.servers.recordSuccess
import org.cardamomwharf.decision.servers.update

internal fun Turn.endAttempt(attempt: AttemptId, result: AttemptResult) {
    val running = state.requests.attempts[attempt] ?: return
    endRunning(attempt, running, distrustUnnamed(running.target, result))
}

private fun Turn.endRunning(attempt: AttemptId, running: RunningAttempt, result: AttemptResult) {
    changeRequests { it.copy(attempts = it.attempts.remove(attempt)) }
    state = state.copy(held = state.held.remove(attempt))
    noteServer(running.target, result)
    notePeer(running.target, result)
    if (running.target is Target.Server && result is AttemptResult.Completed) {
        val tookMs = nowMs - running.startedAtMs
        state = state.copy(serviceTimes = state.serviceTimes.record(running.service, tookMs))
    }
    val request = find(running.request)
    if (request != null && request.phase == Phase.Running(attempt)) {
        goOn(request, running.target, attempt, result)
    }
    wakeWaiting()
}

private fun Turn.noteServer(target: Target, result: AttemptResult) {
    if (target !is Target.Server) return
    val next = state.servers.update(target.name) { server ->
        val released = server.endRequest()
        when (result) {
            is AttemptResult.Completed ->
                released.recordSuccess(nowMs).copy(isLeaving = server.isLeaving || result.isServerLeaving)
            is AttemptResult.Refused ->
                released.recordRefusal(result.retryAfterMs, nowMs)
                    .copy(isLeaving = server.isLeaving || result.isServerLeaving)
            is AttemptResult.NotSent -> released.recordFailure(nowMs)
            is AttemptResult.Lost -> if (isServerFault(result)) released.recordFailure(nowMs) else released
        }
    }
    state = state.copy(servers = next)
}

private fun Turn.notePeer(target: Target, result: AttemptResult) {
    if (target !is Target.Peer) return
    val isUnreached = result is AttemptResult.NotSent ||
        result is AttemptResult.Lost && result.reason == Reason.CONNECTION_LOST
    val suspects = state.suspects
    state = state.copy(
        suspects = if (isUnreached) suspects.add(target.name, nowMs) else suspects.clear(target.name),
    )
}

private fun isServerFault(result: AttemptResult.Lost): Boolean =
    result.reason != Reason.CALLER_GONE && result.reason != Reason.DEADLINE_PASSED_RUNNING

private fun Turn.goOn(request: OpenRequest, target: Target, attempt: AttemptId, result: AttemptResult) {
    val tried = exclude(request, target)
    when (result) {
        is AttemptResult.Completed -> end(request, Reason.ANSWERED, attempt, result.recorded)
        is AttemptResult.NotSent -> tryAgain(tried, result.reason)
        is AttemptResult.Refused -> tryAgain(tried, result.reason)
        is AttemptResult.Lost -> {
            val lost = tried.copy(lastLoss = result.reason)
            if (request.spec.isIdempotent) tryAgain(lost, result.reason) else end(lost, result.reason)
        }
    }
}

private fun exclude(request: OpenRequest, target: Target): OpenRequest = when (target) {
    is Target.Server -> request.copy(triedServers = request.triedServers.add(target.name))
    is Target.Peer -> request.copy(triedPeers = request.triedPeers.add(target.name))
}

private fun Turn.tryAgain(request: OpenRequest, reason: Reason) {
    val isLight = request.spec.isIdempotent
    val isSpent = request.attempts >= policy.maxAttempts
    val isOverBudget = isLight && !state.budget.isRetryAllowed
    if (isOverBudget) add(EntryEffect.CountRetry(request.spec.service, Reason.RETRY_BUDGET_EMPTY))
    if (isSpent || isOverBudget || request.spec.deadlineAtMs <= nowMs) {
        end(request, reason)
        return
    }
    update(request.copy(phase = Phase.Waiting, lastRefusal = reason))
    dispatch(request.spec.id)
}
