/*
 * Chooses the backend server of a request by the finish that is predicted for each: the way there, the wait for a slot,
 * and the work, which is short where the key is known. All instances rank the servers of a region alike for a key, so
 * that its requests meet. What would finish too late everywhere is refused at once.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.hashOf
import org.cardamomwharf.core.unitPositionOf
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.Place
import org.cardamomwharf.steering.SteeringTerms
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.limits.coldPartPerSecond
import org.cardamomwharf.steering.requests.AttemptEnd
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer
import org.cardamomwharf.steering.servers.ServerBook

/** Multiple of the cold time after which a server that owes answers and gives none is left alone. */
private const val SILENCE_FACTOR = 2.5

/** Shortest silence that counts. */
private const val LEAST_SILENCE_MS = 700L

internal class Placer(
    private val place: Place,
    private val terms: SteeringTerms,
    private val servers: ServerBook,
) {
    private val estimates = HashMap<String, WorkEstimates>()
    private val lendings = HashMap<ServiceName, RegionLending>()
    private val travel = TravelTimes()

    fun choose(
        spec: RequestSpec,
        excluded: Set<ServerName>,
        desired: DesiredState?,
        instances: Set<InstanceName>,
        nowMs: Long,
    ): Placement {
        val work = estimatesOf(spec.route)
        val open = servers.serversOf(spec.service).filter { isUsable(it, spec, excluded, work, nowMs) }
        if (open.isEmpty()) return refuse(spec, RefusalReason.NO_SERVER, work.coldMs)
        val ready = open.filter { !it.isCold(nowMs) || isColdOpen(it, desired, instances, nowMs) }
        if (ready.isEmpty()) return refuse(spec, RefusalReason.COLD, work.coldMs)
        val firstChoices = ready.groupBy { it.region }.map { (_, group) -> group.maxBy { affinityOf(spec, it) } }
        val best = bestOf(spec, ready.map { rate(spec, it, it in firstChoices, work, nowMs) })
        return if (best.waitMs > longestWaitMs(spec, best)) {
            refuse(spec, RefusalReason.OVERLOAD, best.waitMs)
        } else {
            Placement.Send(
                best.server.record.name,
                best.server.record.address,
                best.warmth,
                best.travelMs + best.waitMs + best.workMs,
                best.server.estimateLoad(nowMs),
            )
        }
    }

    fun noteSent(send: Placement.Send, desired: DesiredState?, instances: Set<InstanceName>, nowMs: Long) {
        val server = servers.find(send.server) ?: return
        server.noteSent(nowMs)
        if (server.isCold(nowMs)) server.coldAllowance.noteSent(nowMs, coldRate(server, desired, instances))
    }

    fun noteEnd(spec: RequestSpec, send: Placement.Send, end: AttemptEnd, tookMs: Long, nowMs: Long) {
        val server = servers.find(send.server) ?: return
        server.noteEnded()
        when (end) {
            AttemptEnd.ANSWERED -> learn(spec, send, server, tookMs, nowMs)
            AttemptEnd.FAILED, AttemptEnd.SHED -> server.noteAnswer(isGood = false, nowMs)
            AttemptEnd.MISDIRECTED, AttemptEnd.NOT_SENT, AttemptEnd.LOST -> server.noteFailure(nowMs)
            AttemptEnd.TIMED_OUT -> learnTimeout(send, server, tookMs, nowMs)
            AttemptEnd.CALLER_GONE -> Unit
        }
    }

    fun adjustLending(nowMs: Long) {
        lendings.values.forEach { it.adjust(nowMs) }
    }

    /** Returns the delay for a refused caller: the wait that is expected, spread so that callers don't return at once. */
    fun retryAfterMs(id: String, waitMs: Double): Long =
        ((terms.shortestRetryAfterMs + waitMs / 2) * (1 + unitPositionOf(id))).toLong()

    private fun isUsable(
        server: KnownServer,
        spec: RequestSpec,
        excluded: Set<ServerName>,
        work: WorkEstimates,
        nowMs: Long,
    ): Boolean {
        val allowed = spec.route.allowedRegions
        val silenceMs = maxOf(LEAST_SILENCE_MS, (SILENCE_FACTOR * work.coldMs * server.slowness(nowMs)).toLong())
        return servers.isOpen(server) &&
            server.record.name !in excluded &&
            (allowed.isEmpty() || server.region in allowed) &&
            server.isTrusted(nowMs) &&
            server.silentForMs(nowMs) < silenceMs
    }

    private fun isColdOpen(
        server: KnownServer,
        desired: DesiredState?,
        instances: Set<InstanceName>,
        nowMs: Long,
    ): Boolean = server.coldAllowance.isOpen(nowMs, coldRate(server, desired, instances))

    private fun coldRate(server: KnownServer, desired: DesiredState?, instances: Set<InstanceName>): Double {
        val bearable = desired?.services?.get(server.record.service)?.coldPerSecond ?: 0.0
        return coldPartPerSecond(place.instance, server.record.name, instances, bearable * terms.coldUsableShare)
    }

    /** Returns the best of the own region, or of another when this request is lent or the own region has none. */
    private fun bestOf(spec: RequestSpec, ratings: List<Rating>): Rating {
        val (own, other) = ratings.partition { it.server.distance != Distance.OTHER_REGION }
        val bestOwn = own.minByOrNull { it.costMs }
        val bestOther = other.minByOrNull { it.costMs }
        return when {
            bestOwn == null -> checkNotNull(bestOther)
            bestOther == null -> bestOwn
            lendingOf(spec.service).decide(gains = bestOther.costMs < bestOwn.costMs) -> bestOther
            else -> bestOwn
        }
    }

    private fun lendingOf(service: ServiceName): RegionLending =
        lendings.getOrPut(service) { RegionLending(terms.largestShift, firstShareOf(service)) }

    /** Returns the share that the region lacks slots for, when zones get equal shares of the requests. */
    private fun firstShareOf(service: ServiceName): Double {
        val open = servers.serversOf(service).filter { servers.isOpen(it) }
        val ownSlots = open.filter { it.distance != Distance.OTHER_REGION }.sumOf { it.slots }
        val ownZones = place.regions.count { it.value == place.region }
        if (open.isEmpty() || ownZones == 0) return 0.0
        val slotShare = ownSlots.toDouble() / open.sumOf { it.slots }
        val requestShare = ownZones.toDouble() / place.regions.size
        return 1.0 - slotShare / requestShare
    }

    private fun rate(
        spec: RequestSpec,
        server: KnownServer,
        isFirstChoice: Boolean,
        work: WorkEstimates,
        nowMs: Long,
    ): Rating {
        val warmth = when {
            spec.affinityKey != null && spec.affinityKey in server.warmKeys -> Warmth.KNOWN
            isFirstChoice -> Warmth.FIRST_CHOICE
            else -> Warmth.OTHER
        }
        val slowness = server.slowness(nowMs)
        val workMs = work.expectMs(warmth) * slowness
        val ahead = (server.estimateLoad(nowMs) + 1 - server.slots).coerceAtLeast(0.0)
        val waitMs = ahead / server.slots * (work.warmMs + work.coldMs) / 2 * slowness
        val travelMs = travel.of(server.distance)
        val penaltyMs = when (server.distance) {
            Distance.SAME_ZONE -> 0.0
            Distance.SAME_REGION -> terms.zonePenaltyMs
            Distance.OTHER_REGION -> terms.regionPenaltyMs
        }
        val failureMs = server.failureShare(nowMs) * spec.route.targetLatencyMs
        val unprovenMs = if (server.isUnproven && spec.route.isIdempotent) work.coldMs else 0.0
        val costMs = travelMs + waitMs + workMs + penaltyMs + failureMs - unprovenMs
        return Rating(server, warmth, travelMs, waitMs, workMs, costMs)
    }

    /** Returns the wait that still lets a request finish in time; one that can't needs a free slot. */
    private fun longestWaitMs(spec: RequestSpec, best: Rating): Double =
        (spec.route.targetLatencyMs - best.workMs - best.travelMs).coerceAtLeast(0.0)

    private fun learn(spec: RequestSpec, send: Placement.Send, server: KnownServer, tookMs: Long, nowMs: Long) {
        server.noteAnswer(isGood = true, nowMs)
        val work = estimatesOf(spec.route)
        val slowness = server.slowness(nowMs)
        val workMs = (tookMs - travel.of(server.distance)).coerceAtLeast(1.0)
        if (send.load < server.slots) {
            val usualMs = if (work.isWarm(workMs / slowness)) work.warmMs else work.coldMs
            server.noteSpeed(workMs / usualMs, nowMs)
            if (!server.isCold(nowMs)) work.learn(send.warmth, workMs / slowness)
        } else if (tookMs > send.predictedMs) {
            server.noteSpeed(slowness * tookMs / send.predictedMs, nowMs)
        }
        spec.affinityKey?.let { server.warmKeys.note(it) }
    }

    private fun learnTimeout(send: Placement.Send, server: KnownServer, tookMs: Long, nowMs: Long) {
        server.noteTimeout(nowMs)
        val factor = maxOf(terms.timeoutSlowness, tookMs / send.predictedMs)
        server.noteSpeed(server.slowness(nowMs) * factor, nowMs)
    }

    private fun affinityOf(spec: RequestSpec, server: KnownServer): Long =
        hashOf("${spec.service.value}/${spec.affinityKey ?: spec.id}/${server.record.name.value}")

    private fun refuse(spec: RequestSpec, reason: RefusalReason, waitMs: Double): Placement.Refuse =
        Placement.Refuse(reason, retryAfterMs(spec.id, waitMs))

    private fun estimatesOf(route: Route): WorkEstimates = estimates.getOrPut(
        route.name
    ) { WorkEstimates(route, terms) }

    private class Rating(
        val server: KnownServer,
        val warmth: Warmth,
        val travelMs: Double,
        val waitMs: Double,
        val workMs: Double,
        val costMs: Double,
    )
}
