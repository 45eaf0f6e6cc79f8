/*
 * The decisions of one instance. Nothing here does input or output or reads a clock: the time comes with each call, and
 * the caller makes sure that one thread is here at a time.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.limits.LimitSharing
import org.cardamomwharf.steering.limits.RetryBudgets
import org.cardamomwharf.steering.placement.CandidateServers
import org.cardamomwharf.steering.placement.RegionSpillover
import org.cardamomwharf.steering.placement.RoundTripTimes
import org.cardamomwharf.steering.placement.ServerSelector
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.servers.ServerRegistry
import org.cardamomwharf.steering.store.TableChange

/** Represents the decisions of one instance. */
public class Steering(location: InstanceLocation, parameters: SteeringParameters) {
    /** The backend servers that are known. */
    public val servers: ServerRegistry = ServerRegistry(location, parameters)

    /** The configuration in force. */
    public val routes: ActiveRoutes = ActiveRoutes()
    private val retryBudgets = RetryBudgets(parameters.retryBudget)
    private val limitSharing = LimitSharing(location)

    /** The time to zones and back. */
    public val roundTripTimes: RoundTripTimes = RoundTripTimes()

    /** What is lent to other regions. */
    public val spillover: RegionSpillover = RegionSpillover(location, servers, parameters.maxShift)
    private val candidates = CandidateServers(servers, routes, limitSharing, parameters)
    private val serverSelector = ServerSelector(parameters, candidates, spillover, roundTripTimes)

    /** Takes changes of the backend servers over. */
    public fun applyServers(changes: List<TableChange<ServerRecord>>, nowMs: Long) {
        servers.apply(changes, { routes.findServiceTerms(it)?.coldStartMs ?: 0 }, nowMs)
    }

    /** Sets the zones whose backend servers get nothing. */
    public fun evacuate(zones: Set<ZoneName>, nowMs: Long) {
        servers.evacuate(zones, routes.desired?.services.orEmpty(), nowMs)
    }

    /** Sets the instances that share limits with this one; until then it uses none of the shared limits. */
    public fun setLiveInstances(live: Map<InstanceName, ZoneName>) {
        limitSharing.update(live)
    }

    /** Decides the first try of [spec]. */
    public fun place(spec: RequestSpec, nowMs: Long): Placement {
        retryBudgets.getForService(spec.service).recordRequest(nowMs)
        val placement = serverSelector.select(spec, emptySet(), nowMs)
        if (placement is Placement.Send) serverSelector.recordRequestSent(spec, placement, nowMs)
        return placement
    }

    /**
     * Decides what follows the end of a try.
     *
     * @param attempts the backend servers that the request was sent to, the latest last.
     */
    public fun completeAttempt(
        spec: RequestSpec,
        attempts: List<Placement.Send>,
        report: AttemptReport,
        nowMs: Long,
    ): NextStep {
        recordOutcome(spec, attempts.last(), report, nowMs)
        val retry = if (report.outcome.isFinal) null else planRetry(spec, attempts, report.outcome, nowMs)
        return retry ?: finalStep(spec, report)
    }

    /** Notes that a try ended when nothing more is to be decided about the request. */
    public fun recordOutcome(spec: RequestSpec, send: Placement.Send, report: AttemptReport, nowMs: Long) {
        serverSelector.recordOutcome(spec, send, report, nowMs)
    }

    /** Adjusts what is lent to other regions; due a few times a second. */
    public fun adjustSpillover(nowMs: Long) {
        spillover.adjust(nowMs)
    }

    /** Returns what the caller is told; a refusal only when no try may have run the request. */
    private fun finalStep(spec: RequestSpec, report: AttemptReport): NextStep = when (report.outcome) {
        AttemptOutcome.ANSWERED, AttemptOutcome.FAILED, AttemptOutcome.CALLER_GONE -> NextStep.RelayResponse
        AttemptOutcome.TIMED_OUT -> NextStep.ReportTimeout
        AttemptOutcome.LOST -> NextStep.ReportUnknown
        AttemptOutcome.SHED, AttemptOutcome.MISDIRECTED -> refusalStep(spec, RefusalReason.SHED, report.mayHaveRun)
        AttemptOutcome.NOT_SENT -> refusalStep(spec, RefusalReason.UNREACHABLE, report.mayHaveRun)
    }

    private fun refusalStep(spec: RequestSpec, reason: RefusalReason, mayHaveRun: Boolean): NextStep =
        if (mayHaveRun) NextStep.ReportUnknown else NextStep.Refuse(reason, serverSelector.retryAfterMs(spec.id, 0.0))

    private fun planRetry(
        spec: RequestSpec,
        attempts: List<Placement.Send>,
        outcome: AttemptOutcome,
        nowMs: Long,
    ): NextStep.Retry? {
        val isRetryable = spec.route.isIdempotent || outcome.isNotExecuted
        if (!isRetryable || attempts.size >= spec.route.maxAttempts) return null
        val excluded = attempts.mapTo(HashSet()) { it.server }
        val next = serverSelector.select(spec, excluded, nowMs) as? Placement.Send
        val isInTime = next != null && nowMs + next.predictedMs <= spec.deadlineAtMs
        val isAllowed = isInTime &&
            (
                outcome == AttemptOutcome.NOT_SENT ||
                    retryBudgets.getForService(spec.service).tryAcquire(nowMs, limitSharing.instanceCount)
                )
        return if (next != null && isAllowed) {
            serverSelector.recordRequestSent(spec, next, nowMs)
            NextStep.Retry(next)
        } else {
            null
        }
    }
}
