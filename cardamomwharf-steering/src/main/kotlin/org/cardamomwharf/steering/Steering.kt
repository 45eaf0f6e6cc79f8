/*
 * The decisions of one instance. Nothing here does input or output or reads a clock: the time comes with each call, and
 * the caller makes sure that one thread is here at a time.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.belief.TableChange
import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.limits.RetryBudgets
import org.cardamomwharf.steering.limits.Sharers
import org.cardamomwharf.steering.placement.Candidates
import org.cardamomwharf.steering.placement.Lendings
import org.cardamomwharf.steering.placement.Placer
import org.cardamomwharf.steering.placement.TravelTimes
import org.cardamomwharf.steering.requests.AttemptEnd
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.ServerBook
import org.cardamomwharf.steering.servers.ServerRecord

/** Represents the decisions of one instance. */
public class Steering(place: Place, terms: SteeringTerms) {
    /** The backend servers that are known. */
    public val servers: ServerBook = ServerBook(place, terms)

    /** The configuration in force. */
    public val routes: ActiveRoutes = ActiveRoutes()
    private val budgets = RetryBudgets(terms.retry)
    private val sharers = Sharers(place)

    /** The time to zones and back. */
    public val travel: TravelTimes = TravelTimes()

    /** What is lent to other regions. */
    public val lendings: Lendings = Lendings(place, servers, terms.largestShift)
    private val placer = Placer(terms, Candidates(servers, routes, sharers, terms), lendings, travel)

    /** Takes changes of the backend servers over. */
    public fun applyServers(changes: List<TableChange<ServerRecord>>, nowMs: Long) {
        servers.apply(changes, { routes.termsOf(it)?.coldStartMs ?: 0 }, nowMs)
    }

    /** Sets the zones whose backend servers get nothing. */
    public fun evacuate(zones: Set<ZoneName>, nowMs: Long) {
        servers.evacuate(zones, routes.desired?.services.orEmpty(), nowMs)
    }

    /** Sets the instances that share limits with this one; until then it uses none of the shared limits. */
    public fun shareWith(live: Map<InstanceName, ZoneName>) {
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
    public fun settle(
        spec: RequestSpec,
        tried: List<Placement.Send>,
        report: AttemptReport,
        nowMs: Long,
    ): NextStep {
        abandon(spec, tried.last(), report, nowMs)
        val again = if (report.end.isFinal) null else tryAgain(spec, tried, report.end, nowMs)
        return again ?: lastStep(spec, report)
    }

    /** Notes that a try ended when nothing more is to be decided about the request. */
    public fun abandon(spec: RequestSpec, send: Placement.Send, report: AttemptReport, nowMs: Long) {
        placer.noteEnd(spec, send, report, nowMs)
    }

    /** Adjusts what is lent to other regions; due a few times a second. */
    public fun tick(nowMs: Long) {
        lendings.adjust(nowMs)
    }

    /** Returns what the caller is told; a refusal only when no try may have run the request. */
    private fun lastStep(spec: RequestSpec, report: AttemptReport): NextStep = when (report.end) {
        AttemptEnd.ANSWERED, AttemptEnd.FAILED, AttemptEnd.CALLER_GONE -> NextStep.PassOn
        AttemptEnd.TIMED_OUT -> NextStep.ReportTimeout
        AttemptEnd.LOST -> NextStep.ReportUnknown
        AttemptEnd.SHED, AttemptEnd.MISDIRECTED -> giveUp(spec, RefusalReason.SHED, report.mayHaveRun)
        AttemptEnd.NOT_SENT -> giveUp(spec, RefusalReason.UNREACHABLE, report.mayHaveRun)
    }

    private fun giveUp(spec: RequestSpec, reason: RefusalReason, mayHaveRun: Boolean): NextStep =
        if (mayHaveRun) NextStep.ReportUnknown else NextStep.Refuse(reason, placer.retryAfterMs(spec.id, 0.0))

    private fun tryAgain(
        spec: RequestSpec,
        tried: List<Placement.Send>,
        end: AttemptEnd,
        nowMs: Long,
    ): NextStep.TryAgain? {
        val isRepeatable = spec.route.isIdempotent || end.isRunExcluded
        if (!isRepeatable || tried.size >= spec.route.maxAttempts) return null
        val excluded = tried.mapTo(HashSet()) { it.server }
        val next = placer.choose(spec, excluded, nowMs) as? Placement.Send
        val isInTime = next != null && nowMs + next.predictedMs <= spec.endsAtMs
        val isAllowed = isInTime && (end == AttemptEnd.NOT_SENT || budgets.of(spec.service).take(nowMs, sharers.count))
        return if (next != null && isAllowed) {
            placer.noteSent(spec, next, nowMs)
            NextStep.TryAgain(next)
        } else {
            null
        }
    }
}
