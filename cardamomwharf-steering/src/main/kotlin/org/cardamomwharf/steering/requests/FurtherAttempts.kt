/*
 * Selects the servers of further attempts of a request: retries after an attempt has failed, and hedges while one is
 * pending. Both use the retry budget of the service and the limit of the team.
 */
package org.cardamomwharf.steering.requests

import org.cardamomwharf.steering.crashes.CrashingRequests
import org.cardamomwharf.steering.limits.LimitSharing
import org.cardamomwharf.steering.limits.RetryBudgets
import org.cardamomwharf.steering.placement.ServerSelector
import org.cardamomwharf.steering.teams.CallerAuthentication
import org.cardamomwharf.steering.teams.limits.TeamLimits

internal class FurtherAttempts(
    private val serverSelector: ServerSelector,
    private val retryBudgets: RetryBudgets,
    private val limitSharing: LimitSharing,
    private val crashingRequests: CrashingRequests,
    private val callers: CallerAuthentication,
    private val teamLimits: TeamLimits,
) {
    /** The plan of the stop of this process, or null while it isn't stopping. */
    var stopPlan: StopPlan? = null

    /** Returns where to send [spec] again after its latest attempt ended with [outcome], or null for nowhere. */
    fun planRetry(
        spec: RequestSpec,
        attempts: List<Placement.Send>,
        outcome: AttemptOutcome,
        nowMs: Long,
    ): Placement.Send? {
        val isRetryable = (spec.route.isIdempotent || outcome.isNotExecuted) && mayBeSent(spec, attempts, nowMs)
        val isBudgetUsed = outcome != AttemptOutcome.NOT_SENT
        return if (isRetryable) select(spec, attempts, isBudgetUsed, nowMs) { true } else null
    }

    /** Returns where to send [spec] while its [attempts] are pending, if that is [isUsable], or null for nowhere. */
    fun planHedge(
        spec: RequestSpec,
        attempts: List<Placement.Send>,
        nowMs: Long,
        isUsable: (Placement.Send) -> Boolean,
    ): Placement.Send? {
        val isPossible = spec.route.isIdempotent && mayBeSent(spec, attempts, nowMs)
        return if (isPossible) select(spec, attempts, isBudgetUsed = true, nowMs, isUsable) else null
    }

    private fun mayBeSent(spec: RequestSpec, attempts: List<Placement.Send>, nowMs: Long): Boolean =
        attempts.size < spec.route.maxAttempts && !crashingRequests.isBlocked(spec.fingerprint) &&
            callers.refusalFor(spec.team, nowMs) == null

    private fun select(
        spec: RequestSpec,
        attempts: List<Placement.Send>,
        isBudgetUsed: Boolean,
        nowMs: Long,
        isUsable: (Placement.Send) -> Boolean,
    ): Placement.Send? {
        val excluded = attempts.mapTo(HashSet()) { it.server }
        val next = serverSelector.select(spec, excluded, nowMs) as? Placement.Send ?: return null
        val isInTime = nowMs + next.predictedMs <= spec.deadlineAtMs && stopPlan.allows(spec, next, nowMs)
        val isAllowed = isInTime && isUsable(next) &&
            (!isBudgetUsed || retryBudgets.getForService(spec.service).tryAcquire(nowMs, limitSharing.instanceCount)) &&
            teamLimits.acquire(spec.team, spec.id, nowMs) == null
        if (isAllowed) serverSelector.recordRequestSent(spec, next, nowMs)
        return next.takeIf { isAllowed }
    }
}
