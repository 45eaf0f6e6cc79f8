/*
 * The instances of a deployment in virtual time, which limit the requests of teams. Callers pick random instances of
 * their zone. Messages between instances take time, and some are lost. An instance that is cut off from most others
 * can't confirm the keys of teams and stops sending their requests some time later.
 */
package org.cardamomwharf.steering.support

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.teams.limits.TeamLimitMessage
import org.cardamomwharf.steering.teams.limits.TeamLimits
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.random.Random

private const val HEARTBEAT_MS = 500L
private const val OTHER_ZONES_INTERVAL = 2
private const val REPORT_TARGETS = 2
private const val SAME_ZONE_MS = 1L
private const val OTHER_ZONE_MS = 36L

/** Time after which an instance that is down or out of reach is no longer seen. */
private const val UNSEEN_AFTER_MS = 1_500L

/** Time for which an instance without a confirmed configuration still accepts keys. */
private const val KEY_LEASE_MS = 5_000L
private const val STEP_MS = 10L

internal class TeamFleet(private val count: Int, seed: Int, var teams: List<Team>, private val loss: Double = 0.05) {
    private val random = Random(seed)
    private val zones = ZONES.keys.toList()
    private val names = List(count) { InstanceName("i$it") }
    private val members = zones.indices.map { zone -> names.indices.filter { zoneOf(it) == zone } }
    private val instances = Array(count) { create(it) }
    private val isUp = BooleanArray(count) { true }
    private val changedAtMs = LongArray(count) { -UNSEEN_AFTER_MS }
    private val groups = IntArray(count)
    private var groupsBefore = groups.copyOf()
    private var cutAtMs = -UNSEEN_AFTER_MS
    private val beats = IntArray(count)
    private val nextBeatMs = LongArray(count) { random.nextLong(HEARTBEAT_MS) }
    private val messages = PriorityQueue<Delivery>(compareBy<Delivery> { it.atMs }.thenBy { it.number })
    private var messageNumber = 0L

    /** Requests that each team asks for per second. */
    var demand: (Int, Long) -> Double = { _, _ -> 0.0 }

    /** Weight of each zone among the callers. */
    var zoneWeight: (Int, Long) -> Double = { _, _ -> 1.0 }

    /** What became of the requests of each team. */
    val records = List(teams.size) { TeamRecord() }
    var nowMs = 0L
        private set

    /** Number of messages at once, and of all messages to other zones. */
    var promptCount = 0
        private set

    /** Runs until [endMs]. */
    fun run(endMs: Long) {
        while (nowMs < endMs) {
            while (messages.isNotEmpty() && messages.peek().atMs <= nowMs) deliver(messages.poll())
            names.indices.filter { isUp[it] && nextBeatMs[it] <= nowMs }.forEach(::beat)
            arrive()
            nowMs += STEP_MS
        }
    }

    /** Stops the instances at [indices]. */
    fun kill(indices: Iterable<Int>) = indices.forEach {
        isUp[it] = false
        changedAtMs[it] = nowMs
    }

    /** Starts the instances at [indices] with no knowledge of the others. */
    fun start(indices: Iterable<Int>) = indices.forEach {
        instances[it] = create(it)
        isUp[it] = true
        changedAtMs[it] = nowMs
        nextBeatMs[it] = nowMs + random.nextLong(HEARTBEAT_MS)
    }

    /** Divides the instances into groups that don't reach each other; the store is with group 0. */
    fun divide(groupOf: (Int) -> Int) {
        groupsBefore = groups.copyOf()
        cutAtMs = nowMs
        names.indices.forEach { groups[it] = groupOf(it) }
    }

    /** Returns the zone of the instance at [index]. */
    fun zoneOf(index: Int): Int = index % zones.size

    private fun create(index: Int) = TeamLimits(InstanceLocation(names[index], zones[zoneOf(index)], ZONES))

    private fun arrive() = teams.indices.forEach { team ->
        repeat(poisson(demand(team, nowMs) * STEP_MS / 1_000)) { arrive(team) }
    }

    private fun arrive(team: Int) {
        val index = pickInstance() ?: return
        if (groups[index] != 0 && nowMs - cutAtMs >= KEY_LEASE_MS) return
        val record = records[team]
        val retryAfterMs = instances[index].acquire(teams[team], "${random.nextInt()}", nowMs)
        if (retryAfterMs == null) record.sentAtMs.add(nowMs) else record.refusedAtMs.add(nowMs)
    }

    private fun pickInstance(): Int? {
        val weights = zones.indices.map { zoneWeight(it, nowMs) }
        val drawn = random.nextDouble() * weights.sum()
        val zone = weights.runningReduce(Double::plus).indexOfFirst { drawn < it }
        val candidates = members[zone].filter { isUp[it] }
        return candidates.randomOrNull(random)
    }

    private fun beat(index: Int) {
        nextBeatMs[index] = nowMs + HEARTBEAT_MS
        val limits = instances[index]
        limits.setTeams(teams)
        limits.setInstanceCount(names.indices.count { sees(index, it) }, nowMs)
        val zone = ownZone(index)
        if (zone.first() == index) {
            sendSums(index, isToOtherZones = beats[index]++ % OTHER_ZONES_INTERVAL == 0)
        } else {
            val report = limits.reports(nowMs).first
            zone.take(REPORT_TARGETS).filter { it != index }.forEach { send(index, it, report) }
        }
    }

    private fun sendSums(index: Int, isToOtherZones: Boolean) {
        val (inZone, outside) = instances[index].sums(isToOtherZones, nowMs)
        members[zoneOf(index)].filter { it != index }.forEach { send(index, it, inZone) }
        if (!isToOtherZones) return
        zones.indices.filter { it != zoneOf(index) }.forEach { zone ->
            members[zone].filter { sees(index, it) }.take(REPORT_TARGETS)
                .forEach { send(index, it, outside) }
        }
    }

    private fun ownZone(index: Int) =
        members[zoneOf(index)].filter { it == index || sees(index, it) }

    /** Returns true when the instance at [index] takes [other] for running and within reach. */
    private fun sees(index: Int, other: Int): Boolean {
        val isSeenUp = isUp[other] || nowMs - changedAtMs[other] < UNSEEN_AFTER_MS
        val isReached = groups[index] == groups[other] ||
            (nowMs - cutAtMs < UNSEEN_AFTER_MS && groupsBefore[index] == groupsBefore[other])
        return isSeenUp && isReached
    }

    private fun send(from: Int, to: Int, message: TeamLimitMessage?) {
        if (message == null || random.nextDouble() < loss || groups[from] != groups[to]) return
        val takesMs = if (zoneOf(from) == zoneOf(to)) SAME_ZONE_MS else OTHER_ZONE_MS
        messages.add(Delivery(nowMs + takesMs, messageNumber++, from, to, message))
    }

    private fun deliver(delivery: Delivery) {
        val to = delivery.to
        if (!isUp[to]) return
        instances[to].setTeams(teams)
        instances[to].receive(names[delivery.from], zones[zoneOf(delivery.from)], delivery.message, nowMs)
        if (ownZone(to).first() == to && instances[to].isPromptDue(nowMs)) {
            promptCount++
            sendSums(to, isToOtherZones = true)
        }
    }

    private fun poisson(mean: Double): Int {
        var product = random.nextDouble()
        val limit = exp(-mean)
        var number = 0
        while (product > limit) {
            product *= random.nextDouble()
            number++
        }
        return number
    }

    private class Delivery(
        val atMs: Long,
        val number: Long,
        val from: Int,
        val to: Int,
        val message: TeamLimitMessage,
    )
}

/** Times at which requests of a team were sent and refused. */
internal class TeamRecord {
    val sentAtMs = ArrayList<Long>()
    val refusedAtMs = ArrayList<Long>()

    /** Returns the fraction of the requests from [fromMs] until [toMs] that were refused. */
    fun refusedPart(fromMs: Long, toMs: Long): Double {
        val refused = refusedAtMs.count { it in fromMs until toMs }
        return refused.toDouble() / maxOf(refused + sentCount(fromMs, toMs), 1)
    }

    /** Returns the number of requests sent or refused from [fromMs] until [toMs]. */
    fun askedCount(fromMs: Long, toMs: Long): Int =
        sentCount(fromMs, toMs) + refusedAtMs.count { it in fromMs until toMs }

    /** Returns the number of requests sent from [fromMs] until [toMs]. */
    fun sentCount(fromMs: Long, toMs: Long): Int = sentAtMs.count { it in fromMs until toMs }

    /** Returns the largest number of requests sent in a window of [windowMs] that starts at or after [fromMs]. */
    fun largestWindow(windowMs: Long, fromMs: Long = 0): Int {
        var start = sentAtMs.indexOfFirst { it >= fromMs }.coerceAtLeast(0)
        var largest = 0
        for (end in start until sentAtMs.size) {
            while (sentAtMs[end] - sentAtMs[start] >= windowMs) start++
            largest = maxOf(largest, end - start + 1)
        }
        return largest
    }
}
