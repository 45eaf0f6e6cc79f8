/*
 * Handles the end of attempts. The result of an attempt says whether any byte was sent, which alone decides whether the
 * request may be retried.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.servers.endRequest
import org.cardamomwharf.decision.servers.recordFailure
import org.cardamomwharf.decision.servers.recordRefusal
import org.cardamomwharf.decision.servers.recordSuccess
import org.cardamomwharf.decision.servers.update

internal fun StepContext.endAttempt(attempt: AttemptId, result: AttemptResult) {
    val running = state.requests.attempts[attempt] ?: return
    endRunningAttempt(attempt, running, rejectUnidentifiedResponse(running.target, result))
}

private fun StepContext.endRunningAttempt(attempt: AttemptId, running: RunningAttempt, result: AttemptResult) {
    updateRequests { it.copy(attempts = it.attempts.remove(attempt)) }
    state = state.copy(heldResponses = state.heldResponses.remove(attempt))
    recordServerResult(running.target, result)
    recordPeerResult(running.target, result)
    if (running.target is Target.Server && result is AttemptResult.Completed) {
        val tookMs = nowMs - running.startedAtMs
        state = state.copy(serviceTimes = state.serviceTimes.record(running.service, tookMs))
    }
    val request = findRequest(running.request)
    if (request != null && request.phase == Phase.Running(attempt)) {
        continueRequest(request, running.target, attempt, result)
    }
    dispatchWaiting()
}

private fun StepContext.recordServerResult(target: Target, result: AttemptResult) {
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

private fun StepContext.recordPeerResult(target: Target, result: AttemptResult) {
    if (target !is Target.Peer) return
    val isUnreachable = result is AttemptResult.NotSent ||
        result is AttemptResult.Lost && result.reason == Reason.CONNECTION_LOST
    val suspects = state.suspects
    state = state.copy(
        suspects = if (isUnreachable) suspects.add(target.name, nowMs) else suspects.clear(target.name),
    )
}

private fun isServerFault(result: AttemptResult.Lost): Boolean =
    result.reason != Reason.CALLER_GONE && result.reason != Reason.DEADLINE_PASSED_RUNNING

private fun StepContext.continueRequest(
    request: OpenRequest,
    target: Target,
    attempt: AttemptId,
    result: AttemptResult,
) {
    val updated = markTried(request, target)
    when (result) {
        is AttemptResult.Completed -> endRequest(request, Reason.ANSWERED, attempt, result.recorded)
        is AttemptResult.NotSent -> retryOrEnd(updated, result.reason)
        is AttemptResult.Refused -> retryOrEnd(updated, result.reason)
        is AttemptResult.Lost -> {
            val lost = updated.copy(lastLossReason = result.reason)
            if (request.spec.isIdempotent) retryOrEnd(lost, result.reason) else endRequest(lost, result.reason)
        }
    }
}

private fun markTried(request: OpenRequest, target: Target): OpenRequest = when (target) {
    is Target.Server -> request.copy(triedServers = request.triedServers.add(target.name))
    is Target.Peer -> request.copy(triedPeers = request.triedPeers.add(target.name))
}

private fun StepContext.retryOrEnd(request: OpenRequest, reason: Reason) {
    val isIdempotent = request.spec.isIdempotent
    val isAttemptLimitReached = request.attempts >= policy.maxAttempts
    val isRetryBudgetEmpty = isIdempotent && !state.retryBudget.isRetryAllowed
    if (isRetryBudgetEmpty) emit(EntryEffect.CountRetry(request.spec.service, Reason.RETRY_BUDGET_EMPTY))
    if (isAttemptLimitReached || isRetryBudgetEmpty || request.spec.deadlineAtMs <= nowMs) {
        endRequest(request, reason)
        return
    }
    updateRequest(request.copy(phase = Phase.Waiting, lastRefusalReason = reason))
    dispatch(request.spec.id)
}
