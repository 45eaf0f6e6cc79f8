/*
 * Simulates a deployment with several services and kinds of requests in virtual time: servers with slots, a queue that
 * refuses requests when it is full, a cache of keys and other work on their machines; and instances that place requests
 * and retry them. Arrivals are generated from a seed, and no network is used.
 */
package org.cardamomwharf.steering.support

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.ServiceTerms
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.LoadReport
import org.cardamomwharf.steering.servers.ServerRecord
import org.cardamomwharf.steering.servers.ServerReport
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

private const val TICK_MS = 200L
private const val MS_PER_S = 1_000.0
private const val OTHER_REGION_DELAY_MS = 35L

/** Part of the time of a cold key that a warm one takes. */
private const val WARM_SHARE = 0.3
private const val SPREAD = 0.15

/** Other work on the servers' machines: for [share] of the time, which changes every [periodMs], all takes [factor]. */
internal data class MachineNoise(val share: Double, val factor: Double, val periodMs: Long, val isReported: Boolean)

/** Represents the servers of one service. */
internal data class FleetService(
    val name: String,
    val serversByZone: Map<String, Int>,
    val slots: Int,
    val queue: Int,
    val keyCapacity: Int,
    val noise: MachineNoise? = null,
)

/** Represents requests of one kind, [perSecond] in each zone, each for one of [keys] keys used only by its zone. */
internal data class FleetLoad(
    val route: Route,
    val coldMs: Double,
    val keys: Int,
    val perSecond: Double,
    val team: Team? = null,
    val rateFactorAt: (String, Long) -> Double = { _, _ -> 1.0 },
)

/** Represents one request that has ended. */
internal data class FleetRequest(
    val load: FleetLoad,
    val service: ServiceName,
    val region: String,
    val arrivedAtMs: Long,
    val isServed: Boolean,
    val isInTime: Boolean,
    val isCold: Boolean,
    val isAbroad: Boolean,
    val attempts: Int,
)

internal class ServiceFleet(
    parameters: SteeringParameters,
    private val services: List<FleetService>,
    private val loads: List<FleetLoad>,
    seed: Int,
    private val instancesPerZone: Int,
) {
    private val random = Random(seed)
    private val servers = services.flatMap { service ->
        service.serversByZone.flatMap { (zone, count) -> (1..count).map { SimulatedServer(service, zone, it) } }
    }.associateBy { it.name }
    private val instances = ZONES.keys.flatMap { zone -> (1..instancesPerZone).map { zone to "${zone.value}-i$it" } }
    private val steerings = instances.associate { (zone, name) -> name to createSteering(zone, name, parameters) }
    private val events = PriorityQueue<Event>(compareBy { it.atMs })
    private var requestCount = 0

    /** The requests that have ended. */
    val requests = ArrayList<FleetRequest>()

    /** The regions in which requests of each region ran. */
    val placements = RegionPlacements()

    /** Runs until [endMs]. */
    fun run(endMs: Long): ServiceFleet {
        ZONES.keys.forEach { zone -> loads.forEach { scheduleArrival(it, zone.value, 0.0) } }
        for (nowMs in 0L until endMs step TICK_MS) {
            while (events.isNotEmpty() && events.peek().atMs < nowMs + TICK_MS) events.poll().act()
            steerings.values.forEach { it.adjustSpillover(nowMs) }
        }
        return this
    }

    private fun createSteering(zone: ZoneName, name: String, parameters: SteeringParameters): Steering {
        val steering = Steering(InstanceLocation(InstanceName(name), zone, ZONES), parameters)
        val terms = services.map { ServiceName(it.name) }
            .associateWith { ServiceTerms(it, "/health", 100, coldStartMs = 3_000, coldPerSecond = 4.0) }
        val limits = CallerLimits(16_384, 65_536, 3_000, 15_000)
        val routes = loads.map { it.route }.distinct()
        steering.routes.adopt(DesiredState(DocumentVersion(1), routes, terms, limits))
        steering.setLiveInstances(instances.associate { InstanceName(it.second) to it.first }, 0)
        steering.add(*servers.values.map { it.record }.toTypedArray())
        return steering
    }

    private fun scheduleArrival(load: FleetLoad, zone: String, afterMs: Double) {
        val perSecond = load.perSecond * load.rateFactorAt(zone, afterMs.toLong())
        val atMs = afterMs - ln(1 - random.nextDouble()) * MS_PER_S / perSecond
        events.add(
            Event(atMs.toLong()) {
                arrive(load, zone, atMs.toLong())
                scheduleArrival(load, zone, atMs)
            },
        )
    }

    private fun arrive(load: FleetLoad, zone: String, nowMs: Long) {
        val steering = steerings.getValue("$zone-i${1 + random.nextInt(instancesPerZone)}")
        val region = ZONES.getValue(ZoneName(zone)).value
        val key = "$zone/${load.route.name}/${random.nextInt(load.keys)}"
        val service = steering.routes.chooseService(load.route)
        val spec = createSpec(requestCount++, load.route, key, nowMs).copy(service = service, team = load.team)
        val request = Attempts(load, spec, steering, region)
        when (val placement = steering.place(spec, nowMs)) {
            is Placement.Refuse -> end(request, isServed = false, isCold = false, nowMs)
            is Placement.Send -> send(request, placement, nowMs)
        }
    }

    private fun send(request: Attempts, placement: Placement.Send, nowMs: Long) {
        request.sent.add(placement)
        val server = servers.getValue(placement.server.value)
        val region = ZONES.getValue(ZoneName(server.zone)).value
        val networkMs = if (region != request.region) OTHER_REGION_DELAY_MS else 1L
        events.add(
            Event(nowMs + networkMs) {
                server.accept(nowMs + networkMs, request) { endMs, isCold, report ->
                    if (isCold != null) placements.record(endMs, request.region, region)
                    val backAtMs = endMs + networkMs
                    events.add(Event(backAtMs) { complete(request, isCold, report, nowMs, backAtMs) })
                }
            },
        )
    }

    private fun complete(
        request: Attempts,
        isCold: Boolean?,
        report: LoadReport,
        sentAtMs: Long,
        nowMs: Long,
    ) {
        request.steering.recordServerReport(request.sent.last(), ServerReport(report), nowMs)
        val outcome = if (isCold == null) AttemptOutcome.SHED else AttemptOutcome.ANSWERED
        val attempt = AttemptReport(outcome, false, nowMs - sentAtMs)
        when (val next = request.steering.completeAttempt(request.spec, request.sent, attempt, nowMs)) {
            is NextStep.Retry -> send(request, next.placement, nowMs)
            else -> end(request, outcome == AttemptOutcome.ANSWERED, isCold ?: false, nowMs)
        }
    }

    private fun end(request: Attempts, isServed: Boolean, isCold: Boolean, nowMs: Long) {
        val spec = request.spec
        val tookMs = nowMs - spec.arrivedAtMs
        val isAbroad = isServed && request.sent.last().region?.value != request.region
        requests.add(
            FleetRequest(
                request.load,
                spec.service,
                request.region,
                spec.arrivedAtMs,
                isServed = isServed && tookMs <= spec.route.timeoutMs,
                isInTime = isServed && tookMs <= spec.route.targetLatencyMs,
                isCold,
                isAbroad,
                request.sent.size,
            ),
        )
    }

    private class Event(val atMs: Long, val act: () -> Unit)

    private class Attempts(val load: FleetLoad, val spec: RequestSpec, val steering: Steering, val region: String) {
        val sent = ArrayList<Placement.Send>()
    }

    private inner class SimulatedServer(val service: FleetService, val zone: String, number: Int) {
        val name = "${service.name}-$zone-s$number"
        val record = ServerRecord(
            name = ServerName(name),
            service = ServiceName(service.name),
            address = SocketAddress("10.0.0.1", 9_000),
            zone = ZoneName(zone),
            slots = service.slots,
            isDraining = false,
            startedAtUnixMs = 1,
            coldRemainingMs = 0,
        )
        private val warmKeys = LinkedHashSet<String>()
        private val waiting = ArrayDeque<(Long) -> Unit>()
        private var running = 0
        private val noiseSeed = random.nextInt()

        fun accept(nowMs: Long, request: Attempts, onEnd: (Long, Boolean?, LoadReport) -> Unit) = when {
            running < service.slots -> start(nowMs, request, onEnd)
            waiting.size < service.queue -> waiting.addLast { start(it, request, onEnd) }
            else -> onEnd(nowMs, null, report(nowMs))
        }

        private fun start(nowMs: Long, request: Attempts, onEnd: (Long, Boolean?, LoadReport) -> Unit) {
            running++
            val key = checkNotNull(request.spec.affinityKey)
            val isCold = !warmKeys.remove(key)
            warmKeys.add(key)
            if (warmKeys.size > service.keyCapacity) warmKeys.remove(warmKeys.first())
            val baseMs = request.load.coldMs * (if (isCold) 1.0 else WARM_SHARE)
            val endMs = endOf(nowMs, baseMs * (1 - SPREAD + 2 * SPREAD * random.nextDouble()))
            events.add(
                Event(endMs) {
                    running--
                    waiting.removeFirstOrNull()?.invoke(endMs)
                    onEnd(endMs, isCold, report(endMs))
                },
            )
        }

        /** Returns when [workMs] of work that begin at [startMs] end. */
        private fun endOf(startMs: Long, workMs: Double): Long {
            val periodMs = service.noise?.periodMs ?: Long.MAX_VALUE
            var nowMs = startMs
            var remainingMs = workMs
            while (true) {
                val neededMs = (remainingMs * slowdownAt(nowMs)).toLong()
                val periodEndMs = if (service.noise == null) Long.MAX_VALUE else (nowMs / periodMs + 1) * periodMs
                if (nowMs + neededMs <= periodEndMs) return nowMs + neededMs
                remainingMs -= (periodEndMs - nowMs) / slowdownAt(nowMs)
                nowMs = periodEndMs
            }
        }

        private fun slowdownAt(nowMs: Long): Double {
            val noise = service.noise ?: return 1.0
            val isSlow = Random(noiseSeed + nowMs / noise.periodMs).nextDouble() < noise.share
            return if (isSlow) noise.factor else 1.0
        }

        private fun report(nowMs: Long) = LoadReport(
            running,
            waiting.size,
            service.slots,
            slowdownAt(nowMs).takeIf { service.noise?.isReported == true },
        )
    }
}
