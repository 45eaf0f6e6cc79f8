/*
 * The decisions of one instance. Nothing here does input or output or reads a clock: the time comes with each call, and
 * the caller makes sure that one thread is here at a time.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.limits.RetryBudgets
import org.cardamomwharf.steering.limits.Sharers
import org.cardamomwharf.steering.placement.Candidates
import org.cardamomwharf.steering.placement.Placer
import org.cardamomwharf.steering.placement.RegionSpillover
import org.cardamomwharf.steering.placement.RoundTripTimes
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.ServerBook
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.store.TableChange

/** Represents the decisions of one instance. */
public class Steering(place: InstanceLocation, terms: SteeringParameters) {
    /** The backend servers that are known. */
    public val servers: ServerBook = ServerBook(place, terms)

    /** The configuration in force. */
    public val routes: ActiveRoutes = ActiveRoutes()
    private val budgets = RetryBudgets(terms.retryBudget)
    private val sharers = Sharers(place)

    /** The time to zones and back. */
    public val roundTripTimes: RoundTripTimes = RoundTripTimes()

    /** What is lent to other regions. */
    public val spillover: RegionSpillover = RegionSpillover(place, servers, terms.largestShift)
    private val placer = Placer(terms, Candidates(servers, routes, sharers, terms), spillover, roundTripTimes)

    /** Takes changes of the backend servers over. */
    public fun applyServers(changes: List<TableChange<ServerRecord>>, nowMs: Long) {
        servers.apply(changes, { routes.termsOf(it)?.coldStartMs ?: 0 }, nowMs)
    }

    /** Sets the zones whose backend servers get nothing. */
    public fun evacuate(zones: Set<ZoneName>, nowMs: Long) {
        servers.evacuate(zones, routes.desired?.services.orEmpty(), nowMs)
    }

    /** Sets the instances that share limits with this one; until then it uses none of the shared limits. */
    public fun setLiveInstances(live: Map<InstanceName, ZoneName>) {
        sharers.replace(live)
    }

    /** Decides the first try of [spec]. */
    public fun place(spec: RequestSpec, nowMs: Long): Placement {
        budgets.of(spec.service).noteRequest(nowMs)
        val placement = placer.choose(spec, emptySet(), nowMs)
        if (placement is Placement.Send) placer.noteSent(spec, placement, nowMs)
        return placement
    }

    /**
     * Decides what follows the end of a try.
     *
     * @param tried the backend servers that the request was sent to, the latest last.
     */
    public fun completeAttempt(
        spec: RequestSpec,
        tried: List<Placement.Send>,
        report: AttemptReport,
        nowMs: Long,
    ): NextStep {
        recordOutcome(spec, tried.last(), report, nowMs)
        val again = if (report.outcome.isFinal) null else tryAgain(spec, tried, report.outcome, nowMs)
        return again ?: lastStep(spec, report)
    }

    /** Notes that a try ended when nothing more is to be decided about the request. */
    public fun recordOutcome(spec: RequestSpec, send: Placement.Send, report: AttemptReport, nowMs: Long) {
        placer.noteEnd(spec, send, report, nowMs)
    }

    /** Adjusts what is lent to other regions; due a few times a second. */
    public fun adjustSpillover(nowMs: Long) {
        spillover.adjust(nowMs)
    }

    /** Returns what the caller is told; a refusal only when no try may have run the request. */
    private fun lastStep(spec: RequestSpec, report: AttemptReport): NextStep = when (report.outcome) {
        AttemptOutcome.ANSWERED, AttemptOutcome.FAILED, AttemptOutcome.CALLER_GONE -> NextStep.RelayResponse
        AttemptOutcome.TIMED_OUT -> NextStep.ReportTimeout
        AttemptOutcome.LOST -> NextStep.ReportUnknown
        AttemptOutcome.SHED, AttemptOutcome.MISDIRECTED -> giveUp(spec, RefusalReason.SHED, report.mayHaveRun)
        AttemptOutcome.NOT_SENT -> giveUp(spec, RefusalReason.UNREACHABLE, report.mayHaveRun)
    }

    private fun giveUp(spec: RequestSpec, reason: RefusalReason, mayHaveRun: Boolean): NextStep =
        if (mayHaveRun) NextStep.ReportUnknown else NextStep.Refuse(reason, placer.retryAfterMs(spec.id, 0.0))

    private fun tryAgain(
        spec: RequestSpec,
        tried: List<Placement.Send>,
        end: AttemptOutcome,
        nowMs: Long,
    ): NextStep.Retry? {
        val isRepeatable = spec.route.isIdempotent || end.isNotExecuted
        if (!isRepeatable || tried.size >= spec.route.maxAttempts) return null
        val excluded = tried.mapTo(HashSet()) { it.server }
        val next = placer.choose(spec, excluded, nowMs) as? Placement.Send
        val isInTime = next != null && nowMs + next.predictedMs <= spec.deadlineAtMs
        val isAllowed = isInTime &&
            (end == AttemptOutcome.NOT_SENT || budgets.of(spec.service).take(nowMs, sharers.count))
        return if (next != null && isAllowed) {
            placer.noteSent(spec, next, nowMs)
            NextStep.Retry(next)
        } else {
            null
        }
    }
}
