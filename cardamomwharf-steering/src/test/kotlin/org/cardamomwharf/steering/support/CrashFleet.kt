/*
 * The instances of a deployment in virtual time while requests arrive that crash each server that begins to run them.
 * Servers run requests for a while, crash and come back; a crash breaks off all requests that are on the server.
 * Messages between instances take time, and some are lost.
 */
package org.cardamomwharf.steering.support

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.hash64
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.crashes.CrashMessage
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.store.TableChange
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

private const val MS_PER_S = 1_000.0
private const val HEARTBEAT_MS = 500L
private const val MESSAGE_MS = 36L
private const val MESSAGE_LOSS = 0.05
private const val RUN_MS = 150L
private const val CRASH_AFTER_MS = 40L
private const val DOWN_MS = 3_200L
private const val SERVERS_PER_ZONE = 6
private const val SLOTS = 8

/**
 * Represents requests that arrive at random instances.
 *
 * @param nextPath returns the path of the next request; equal paths are the same request.
 */
internal class Arrivals(val perSecond: Double, val nextPath: (Random) -> String)

/** Represents a request that was sent to a server. */
internal data class SentRequest(val path: String, val instance: Int, val atMs: Long)

internal class CrashFleet(
    private val count: Int,
    seed: Int,
    private val arrivals: List<Arrivals>,
    private val isDeadly: (String, Long) -> Boolean,
) {
    private val random = Random(seed)
    private val zones = ZONES.keys.toList()
    private val servers = zones
        .flatMap { zone -> (1..SERVERS_PER_ZONE).map { ServerModel("${zone.value}-s$it", zone) } }
        .associateBy { it.name }
    private val instances = Array(count) { createInstance(it) }
    private val reachable = BooleanArray(count) { true }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.number })
    private var eventNumber = 0L
    private var requestNumber = 0

    /** Requests that were sent to servers. */
    val sent = ArrayList<SentRequest>()

    /** Times of the crashes under each request. */
    val crashes = HashMap<String, MutableList<Long>>()

    /** Numbers of requests by path and outcome. */
    val outcomes = HashMap<Pair<String, String>, Int>()

    /** Current time. */
    var nowMs = 0L
        private set

    /** The largest number of requests that one instance kept. */
    val largestTrackedCount: Int get() = instances.maxOf { it.crashingRequests.trackedCount }

    init {
        arrivals.forEach { scheduleArrival(it, 0.0) }
        instances.indices.forEach { scheduleHeartbeat(it, random.nextLong(HEARTBEAT_MS)) }
    }

    /** Runs until [endMs]. */
    fun run(endMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs < endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.act()
        }
        nowMs = endMs
    }

    /** Replaces the instances at [indices] by ones that know nothing. */
    fun restart(indices: IntRange) = indices.forEach { instances[it] = createInstance(it) }

    /** Cuts the instances at [indices] off from the others, or ends that. */
    fun cut(indices: IntRange, isCut: Boolean) = indices.forEach { reachable[it] = !isCut }

    /** Returns the instances that send the request [path] now if it arrives. */
    fun instancesSending(path: String): List<Int> = instances.indices.filter { index ->
        instances[index].crashingRequests.remainingMs(fingerprintOf(path), nowMs) == 0L
    }

    /** Returns the number of requests whose paths match [isCounted] and that ended with [outcome]. */
    fun countOutcomes(outcome: String, isCounted: (String) -> Boolean): Int =
        outcomes.filter { it.key.second == outcome && isCounted(it.key.first) }.values.sum()

    private fun createInstance(index: Int): Steering {
        val name = nameOf(index)
        val steering = Steering(InstanceLocation(name, zoneOf(index), ZONES), PARAMETERS)
        steering.routes.adopt(createState(1, READS))
        steering.add(*servers.values.map { it.record() }.toTypedArray())
        steering.setLiveInstances((0 until count).associate { nameOf(it) to zoneOf(it) }, 0)
        return steering
    }

    private fun nameOf(index: Int) = InstanceName("i$index")

    private fun zoneOf(index: Int): ZoneName = zones[index % zones.size]

    private fun fingerprintOf(path: String) = hash64(path)

    private fun schedule(atMs: Long, act: () -> Unit) {
        events.add(Event(atMs, eventNumber++, act))
    }

    private fun scheduleArrival(load: Arrivals, afterMs: Double) {
        val atMs = afterMs - ln(1 - random.nextDouble()) * MS_PER_S / load.perSecond
        schedule(atMs.toLong()) {
            arrive(load.nextPath(random), random.nextInt(count))
            scheduleArrival(load, atMs)
        }
    }

    private fun scheduleHeartbeat(index: Int, atMs: Long): Unit = schedule(atMs) {
        instances[index].crashingRequests.regularMessage(nowMs)?.let { message ->
            val zonePeers = instances.indices.filter { zoneOf(it) == zoneOf(index) && it != index }
            (zonePeers + random.nextInt(count)).forEach { deliver(index, it, message) }
        }
        scheduleHeartbeat(index, atMs + HEARTBEAT_MS)
    }

    private fun arrive(path: String, index: Int) {
        val spec = createSpec(requestNumber++, key = path, nowMs = nowMs).copy(fingerprint = fingerprintOf(path))
        when (val placement = instances[index].place(spec, nowMs)) {
            is Placement.Refuse -> end(path, placement.reason)
            is Placement.Send -> send(Running(path, spec, index, instances[index], listOf(placement)))
        }
    }

    private fun send(request: Running) {
        sent.add(SentRequest(request.path, request.index, nowMs))
        val server = servers.getValue(request.placements.last().server.value)
        schedule(nowMs + 1) { server.accept(request) }
    }

    private fun complete(request: Running, outcome: AttemptOutcome, isBrokenOff: Boolean) {
        val report = AttemptReport(outcome, request.mayHaveRun, nowMs - request.spec.arrivedAtMs, isBrokenOff)
        val next = request.steering.completeAttempt(request.spec, request.placements, report, nowMs)
        if (instances[request.index] === request.steering) sendMessages(request.index)
        val mayHaveRun = request.mayHaveRun || !outcome.isNotExecuted
        when (next) {
            is NextStep.Retry ->
                send(request.copy(placements = request.placements + next.placement, mayHaveRun = mayHaveRun))
            NextStep.RelayResponse -> count(request.path, "answered")
            is NextStep.Refuse -> end(request.path, next.reason)
            NextStep.ReportUnknown, NextStep.ReportTimeout -> count(request.path, "lost")
            NextStep.RejectRequest -> count(request.path, "unwritable")
        }
    }

    private fun end(path: String, reason: RefusalReason) = count(path, reason.code)

    private fun count(path: String, outcome: String) {
        outcomes.merge(path to outcome, 1, Int::plus)
    }

    private fun sendMessages(index: Int) = instances[index].crashingRequests.outbox.takeMessages().forEach { outgoing ->
        instances.indices.filter { it != index && (outgoing.recipients == null || nameOf(it) in outgoing.recipients) }
            .forEach { deliver(index, it, outgoing.message) }
    }

    private fun deliver(from: Int, to: Int, message: CrashMessage) {
        if (random.nextDouble() < MESSAGE_LOSS || reachable[from] != reachable[to]) return
        schedule(nowMs + MESSAGE_MS) {
            instances[to].crashingRequests.receive(message, nowMs)
            sendMessages(to)
        }
    }

    private class Event(val atMs: Long, val number: Long, val act: () -> Unit)

    private data class Running(
        val path: String,
        val spec: RequestSpec,
        val index: Int,
        val steering: Steering,
        val placements: List<Placement.Send>,
        val mayHaveRun: Boolean = false,
    )

    private inner class ServerModel(val name: String, private val zone: ZoneName) {
        private val running = ArrayList<Running>()
        private val waiting = ArrayDeque<Running>()
        private var starts = 1L
        private var isDown = false

        fun record() = createServer(name, zone, SLOTS).copy(startedAtUnixMs = starts)

        fun accept(request: Running) {
            when {
                isDown -> complete(request, AttemptOutcome.NOT_SENT, isBrokenOff = false)
                running.size < SLOTS -> start(request)
                else -> waiting.addLast(request)
            }
        }

        private fun start(request: Running) {
            running.add(request)
            val startedIn = starts
            val isCrashing = isDeadly(request.path, nowMs)
            schedule(nowMs + if (isCrashing) CRASH_AFTER_MS else RUN_MS) {
                if (startedIn == starts && !isDown) if (isCrashing) crash(request) else finish(request)
            }
        }

        private fun finish(request: Running) {
            running.remove(request)
            waiting.removeFirstOrNull()?.let { start(it) }
            complete(request, AttemptOutcome.ANSWERED, isBrokenOff = false)
        }

        private fun crash(cause: Running) {
            crashes.getOrPut(cause.path) { ArrayList() }.add(nowMs)
            val brokenOff = running + waiting
            running.clear()
            waiting.clear()
            isDown = true
            brokenOff.forEach { complete(it, AttemptOutcome.LOST, isBrokenOff = true) }
            schedule(nowMs + DOWN_MS) { comeBack() }
        }

        private fun comeBack() {
            val before = record()
            starts++
            isDown = false
            instances.forEach { it.applyServers(listOf(TableChange(name, starts, before, record())), nowMs) }
        }
    }
}
