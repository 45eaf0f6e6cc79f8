/*
 * The decisions of one instance. Nothing here does input or output or reads a clock: the time comes with each call, and
 * the caller makes sure that one thread is here at a time.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.belief.TableChange
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.RouteTable
import org.cardamomwharf.steering.desired.routeTableOf
import org.cardamomwharf.steering.limits.RetryBudget
import org.cardamomwharf.steering.placement.Placer
import org.cardamomwharf.steering.placement.WeightedSplit
import org.cardamomwharf.steering.requests.AttemptEnd
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.LoadReport
import org.cardamomwharf.steering.servers.ServerBook
import org.cardamomwharf.steering.servers.ServerRecord

/** Represents the decisions of one instance. */
public class Steering(private val place: Place, private val terms: SteeringTerms) {
    /** The backend servers that are known. */
    public val servers: ServerBook = ServerBook(place, terms)

    /** The configuration in force, or null before the first one is known. */
    public var desired: DesiredState? = null
        private set
    private var routes: RouteTable = routeTableOf(emptyList())
    private val splits = HashMap<String, Pair<Route, WeightedSplit>>()
    private val budgets = HashMap<ServiceName, RetryBudget>()
    private val placer = Placer(place, terms, servers)
    private var instances: Set<InstanceName> = setOf(place.instance)

    /** Puts [next] in force and returns true, or returns false when it isn't newer than what is in force. */
    public fun adopt(next: DesiredState): Boolean {
        if (next.version <= (desired?.version ?: DocumentVersion.NONE)) return false
        desired = next
        routes = routeTableOf(next.routes)
        return true
    }

    /** Takes changes of the backend servers over. */
    public fun applyServers(changes: List<TableChange<ServerRecord>>, nowMs: Long) {
        servers.apply(changes, { desired?.services?.get(it)?.coldStartMs ?: 0 }, nowMs)
    }

    /** Sets the zones whose backend servers get nothing. */
    public fun evacuate(zones: Set<ZoneName>, nowMs: Long) {
        servers.evacuate(zones, desired?.services.orEmpty(), nowMs)
    }

    /** Sets the instances that share budgets with this one, itself included. */
    public fun shareWith(live: Set<InstanceName>) {
        instances = live + place.instance
    }

    /** Returns the route of a request, or null when none fits. */
    public fun findRoute(host: String, path: String): Route? = routes.find(host, path)

    /** Chooses the service of the next request of [route]. */
    public fun chooseService(route: Route): ServiceName {
        val known = splits[route.name]
        if (known != null && known.first.backends == route.backends) return known.second.next()
        return WeightedSplit(route.backends).also { splits[route.name] = route to it }.next()
    }

    /** Decides the first try of [spec]. */
    public fun place(spec: RequestSpec, nowMs: Long): Placement {
        budgetOf(spec.service).noteRequest(nowMs)
        return send(placer.choose(spec, emptySet(), desired, instances, nowMs), nowMs)
    }

    /** Notes the load that a backend server reported. */
    public fun noteReport(server: ServerName, report: LoadReport, nowMs: Long) {
        servers.find(server)?.noteReport(report, nowMs)
    }

    /**
     * Decides what follows the end of a try.
     *
     * @param tried the backend servers that the request was sent to, the latest last.
     * @param mayHaveRun true when the request may have run in an earlier try.
     * @param tookMs time from the decision to send until the end.
     */
    public fun settle(
        spec: RequestSpec,
        tried: List<Placement.Send>,
        end: AttemptEnd,
        mayHaveRun: Boolean,
        tookMs: Long,
        nowMs: Long,
    ): NextStep {
        noteEnd(spec, tried.last(), end, tookMs, nowMs)
        return when (end) {
            AttemptEnd.ANSWERED, AttemptEnd.CALLER_GONE -> NextStep.PassOn
            AttemptEnd.TIMED_OUT -> NextStep.ReportTimeout
            AttemptEnd.FAILED -> tryAgain(spec, tried, end, nowMs) ?: NextStep.PassOn
            AttemptEnd.LOST -> tryAgain(spec, tried, end, nowMs) ?: NextStep.ReportUnknown
            AttemptEnd.SHED, AttemptEnd.MISDIRECTED ->
                tryAgain(spec, tried, end, nowMs) ?: giveUp(spec, RefusalReason.SHED, mayHaveRun)
            AttemptEnd.NOT_SENT ->
                tryAgain(spec, tried, end, nowMs) ?: giveUp(spec, RefusalReason.UNREACHABLE, mayHaveRun)
        }
    }

    /** Notes that the latest try of [spec] ended because another part of the process gave it up. */
    public fun abandon(spec: RequestSpec, send: Placement.Send, end: AttemptEnd, tookMs: Long, nowMs: Long) {
        noteEnd(spec, send, end, tookMs, nowMs)
    }

    /** Adjusts what is lent to other regions; due a few times a second. */
    public fun tick(nowMs: Long) {
        placer.adjustLending(nowMs)
    }

    /** Returns a refusal only when no earlier try may have run the request. */
    private fun giveUp(spec: RequestSpec, reason: RefusalReason, mayHaveRun: Boolean): NextStep =
        if (mayHaveRun) NextStep.ReportUnknown else NextStep.Refuse(reason, placer.retryAfterMs(spec.id, 0.0))

    private fun tryAgain(
        spec: RequestSpec,
        tried: List<Placement.Send>,
        end: AttemptEnd,
        nowMs: Long,
    ): NextStep.TryAgain? {
        if (!spec.route.isIdempotent && !end.isRunExcluded) return null
        if (tried.size >= spec.route.maxAttempts) return null
        val excluded = tried.mapTo(HashSet()) { it.server }
        val next = placer.choose(spec, excluded, desired, instances, nowMs) as? Placement.Send ?: return null
        if (nowMs + next.predictedMs > spec.endsAtMs) return null
        val isFree = end == AttemptEnd.NOT_SENT
        if (!isFree && !budgetOf(spec.service).take(nowMs, instances.size)) return null
        return NextStep.TryAgain(send(next, nowMs) as Placement.Send)
    }

    private fun send(placement: Placement, nowMs: Long): Placement {
        if (placement is Placement.Send) placer.noteSent(placement, desired, instances, nowMs)
        return placement
    }

    private fun noteEnd(spec: RequestSpec, send: Placement.Send, end: AttemptEnd, tookMs: Long, nowMs: Long) {
        placer.noteEnd(spec, send, end, tookMs, nowMs)
    }

    private fun budgetOf(service: ServiceName): RetryBudget = budgets.getOrPut(service) { RetryBudget(terms.retry) }
}
