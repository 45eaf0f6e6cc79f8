/*
 * Routing decisions of one instance. This package does no I/O and reads no clock: every call takes the current time,
 * and the caller ensures that only one thread calls at a time.
 */
package org.cardamomwharf.steering

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.steering.crashes.CrashingRequests
import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.hedging.HedgePlanner
import org.cardamomwharf.steering.limits.AnnouncedLimits
import org.cardamomwharf.steering.limits.LimitSharing
import org.cardamomwharf.steering.limits.RetryBudgets
import org.cardamomwharf.steering.placement.CandidateServers
import org.cardamomwharf.steering.placement.RegionSpillover
import org.cardamomwharf.steering.placement.RoundTripTimes
import org.cardamomwharf.steering.placement.ServerSelector
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.FurtherAttempts
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.requests.StopPlan
import org.cardamomwharf.steering.requests.allows
import org.cardamomwharf.steering.requests.finalStepOf
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.servers.ServerRegistry
import org.cardamomwharf.steering.servers.ServerReport
import org.cardamomwharf.steering.servers.ServerReportChange
import org.cardamomwharf.steering.store.TableChange
import org.cardamomwharf.steering.teams.CallerAuthentication
import org.cardamomwharf.steering.teams.limits.TeamLimits

/** Makes the routing decisions of one instance. */
public class Steering(location: InstanceLocation, parameters: SteeringParameters) {
    private val instance = location.instance

    /** The known backend servers. */
    public val servers: ServerRegistry = ServerRegistry(location, parameters)

    /** The routes of the active configuration. */
    public val routes: ActiveRoutes = ActiveRoutes(hashToUnitInterval("${location.instance.value}/split"))

    /** The authentication of callers. */
    public val callers: CallerAuthentication = CallerAuthentication(routes, parameters.teams)
    private val retryBudgets = RetryBudgets(parameters.retryBudget)
    private val limitSharing = LimitSharing(location)

    /** The estimated round-trip times to other zones. */
    public val roundTripTimes: RoundTripTimes = RoundTripTimes()

    /** The spillover of requests to other regions. */
    public val spillover: RegionSpillover = RegionSpillover(location, servers, parameters)

    /** The requests that crash backend servers. */
    public val crashingRequests: CrashingRequests = CrashingRequests(location.instance)

    /** The limits of teams. */
    public val teamLimits: TeamLimits = TeamLimits(location)
    private val candidates = CandidateServers(servers, routes, limitSharing, parameters)
    private val announcedLimits = AnnouncedLimits(limitSharing)
    private val serverSelector = ServerSelector(parameters, candidates, spillover, announcedLimits, roundTripTimes)
    private val furtherAttempts =
        FurtherAttempts(serverSelector, retryBudgets, limitSharing, crashingRequests, callers, teamLimits)

    /** The hedges of requests. */
    public val hedges: HedgePlanner = HedgePlanner(parameters.hedging, furtherAttempts, servers)

    /** The plan of the stop of this process, or null while it isn't stopping. */
    public var stopPlan: StopPlan? by furtherAttempts::stopPlan

    /** Applies [changes] of the backend servers table. */
    public fun applyServers(changes: List<TableChange<ServerRecord>>, nowMs: Long) {
        servers.apply(changes, { routes.findServiceTerms(it)?.coldStartMs ?: 0 }, nowMs)
    }

    /** Sets the evacuated zones. Their backend servers receive no requests. */
    public fun evacuate(zones: Set<ZoneName>, nowMs: Long) {
        servers.evacuate(zones, routes.desired?.services.orEmpty(), nowMs)
    }

    /**
     * Sets the [live] instances that share limits with this one. Before the first call, this instance uses no quota of
     * a shared limit.
     */
    public fun setLiveInstances(live: Map<InstanceName, ZoneName>, nowMs: Long) {
        limitSharing.update(live, nowMs)
        crashingRequests.setInstances(live.keys + instance)
        teamLimits.setInstanceCount(limitSharing.instanceCount, nowMs)
    }

    /** Selects the server for the first attempt of [spec]. */
    public fun place(spec: RequestSpec, nowMs: Long): Placement {
        retryBudgets.getForService(spec.service).recordRequest(nowMs)
        val blockedForMs = crashingRequests.remainingMs(spec.fingerprint, nowMs)
        val unconfirmed = callers.refusalFor(spec.team, nowMs)
        val placement = if (unconfirmed != null) {
            unconfirmed
        } else if (blockedForMs > 0) {
            Placement.Refuse(RefusalReason.CRASHES_SERVERS, blockedForMs)
        } else {
            serverSelector.select(spec, emptySet(), nowMs)
        }
        return if (placement is Placement.Send) confirm(spec, placement, nowMs) else placement
    }

    /**
     * Records the outcome of the latest attempt and returns the next step of the request.
     *
     * @param attempts the attempts of the request so far, the latest last.
     */
    public fun completeAttempt(
        spec: RequestSpec,
        attempts: List<Placement.Send>,
        report: AttemptReport,
        nowMs: Long,
    ): NextStep {
        recordOutcome(spec, attempts.last(), report, nowMs)
        val retry =
            if (report.outcome.isFinal) null else furtherAttempts.planRetry(spec, attempts, report.outcome, nowMs)
        return retry?.let { NextStep.Retry(it) } ?: finalStepOf(report, serverSelector.retryAfterMs(spec.id, 0.0))
    }

    /** Records the outcome of an attempt without deciding on a next step. */
    public fun recordOutcome(spec: RequestSpec, send: Placement.Send, report: AttemptReport, nowMs: Long) {
        serverSelector.recordOutcome(spec, send, report, nowMs)
        hedges.recordOutcome(spec, send, report, nowMs)
        if (report.outcome.isNotExecuted) teamLimits.giveBack(spec.team, nowMs)
        val startedAtUnixMs = servers.find(send.server)?.record?.startedAtUnixMs ?: 0
        when {
            report.isBrokenOff ->
                crashingRequests.recordCrash(spec.fingerprint, send.server, startedAtUnixMs, nowMs)
            report.outcome == AttemptOutcome.ANSWERED -> crashingRequests.recordAnswer(spec.fingerprint, nowMs)
        }
    }

    /**
     * Records what the server of [send] states about itself in a response that belongs to a request, and returns what
     * changed by it.
     */
    public fun recordServerReport(send: Placement.Send, report: ServerReport, nowMs: Long): ServerReportChange {
        val isLeaving = report.isLeaving && servers.markLeaving(send.server, send.startedAtUnixMs)
        val known = servers.find(send.server) ?: return ServerReportChange(isLeaving = isLeaving)
        report.load?.let { known.load.recordLoadReport(it, nowMs) }
        val limit = if (report.isLimitMalformed) null else announcedLimits.set(known, report.limitPerSecond, nowMs)
        return ServerReportChange(limit, isLeaving)
    }

    /** Adjusts the shares of requests sent to other regions. Has to be called a few times per second. */
    public fun adjustSpillover(nowMs: Long) {
        spillover.adjust(nowMs)
    }

    /**
     * Records that the request is sent, unless this process stops before the response can be expected or the limit of
     * the team is used up.
     */
    private fun confirm(spec: RequestSpec, send: Placement.Send, nowMs: Long): Placement {
        val refusal = if (stopPlan.allows(spec, send, nowMs)) {
            teamLimits.acquire(spec.team, spec.id, nowMs)?.let { Placement.Refuse(RefusalReason.TEAM_LIMIT, it) }
        } else {
            Placement.Refuse(RefusalReason.STOPPING, serverSelector.retryAfterMs(spec.id, 0.0))
        }
        if (refusal == null) {
            crashingRequests.recordSent(spec.fingerprint, nowMs)
            serverSelector.recordRequestSent(spec, send, nowMs)
        }
        return refusal ?: send
    }
}
