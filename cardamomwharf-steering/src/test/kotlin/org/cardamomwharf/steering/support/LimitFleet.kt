/*
 * The instances of a deployment, which place requests in virtual time while one server of a service announces a limit.
 * The server answers at once, and each instance learns the limit from the answers that it receives.
 */
package org.cardamomwharf.steering.support

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.servers.ServerReport
import kotlin.math.ln
import kotlin.random.Random

private const val MS_PER_S = 1_000.0
private const val TOOK_MS = 60L
private const val SERVERS_PER_ZONE = 4
private const val SLOTS = 8

/** Time from which an instance that passed on an announcement is bound by it. */
private const val TOLD_AFTER_MS = 500L

internal class LimitFleet(
    count: Int,
    private val perSecond: Double,
    private val limitAt: (Long) -> Double?,
    seed: Int,
) {
    private val random = Random(seed)
    private val zones = ZONES.keys.toList()
    private val names = (0 until count).map { InstanceName("i$it") }
    private val records = zones.flatMap { zone ->
        (1..SERVERS_PER_ZONE).map { createServer("${zone.value}-s$it", zone, SLOTS) }
    }
    private val limited = ServerName("a1-s1")
    private val instances = HashMap<InstanceName, Steering>()
    private val toldAtMs = HashMap<InstanceName, Long>()
    private val excused = HashSet<InstanceName>()
    private val countedAtMs = ArrayList<Long>()
    private var atMs = 0.0

    /** Number of requests that the limited server received, also from instances that didn't know of the limit. */
    var receivedCount = 0
        private set

    init {
        names.forEach { instances[it] = createInstance(it) }
        names.forEach { connect(it, names, 0) }
    }

    /** Runs until [endMs]; [beforeStep] may change the fleet. */
    fun run(endMs: Long, beforeStep: (Long) -> Unit = {}) {
        while (atMs < endMs) {
            beforeStep(atMs.toLong())
            place(names[random.nextInt(names.size)], atMs.toLong())
            atMs -= ln(1 - random.nextDouble()) * MS_PER_S / perSecond
        }
    }

    /** Restarts the instances at [indices]; they know no others until [connect] is called. */
    fun restart(indices: IntRange) = indices.forEach {
        instances[names[it]] = createInstance(names[it])
        toldAtMs.remove(names[it])
    }

    /** Sets the instances at [known] as those that the instances at [indices] know. */
    fun connect(indices: IntRange, known: IntRange, nowMs: Long) =
        indices.forEach { connect(names[it], known.map { index -> names[index] }, nowMs) }

    /** Excuses the instances at [indices], which were cut off, from the limit. */
    fun excuse(indices: IntRange) = indices.forEach { excused.add(names[it]) }

    /** Returns the largest number of requests in [windowMs] from instances that knew of the limit. */
    fun largestCount(windowMs: Long, fromMs: Long): Int = countedAtMs.filter { it >= fromMs }
        .let { times -> times.maxOfOrNull { end -> times.count { it in end - windowMs + 1..end } } ?: 0 }

    private fun connect(name: InstanceName, known: Collection<InstanceName>, nowMs: Long) =
        instances.getValue(name).setLiveInstances(known.associateWith { zoneOf(it) }, nowMs)

    private fun createInstance(name: InstanceName): Steering {
        val steering = Steering(InstanceLocation(name, zoneOf(name), ZONES), PARAMETERS)
        steering.routes.adopt(createState(1, READS))
        steering.add(*records.toTypedArray())
        return steering
    }

    private fun zoneOf(name: InstanceName): ZoneName = zones[names.indexOf(name) % zones.size]

    private fun place(name: InstanceName, nowMs: Long) {
        val steering = instances.getValue(name)
        val spec = createSpec(random.nextInt(), key = "k${random.nextInt()}", nowMs = nowMs)
        val sent = steering.place(spec, nowMs) as? Placement.Send ?: return
        val isLimited = sent.server == limited
        if (isLimited) receive(name, nowMs)
        val limit = if (isLimited) limitAt(nowMs) else null
        steering.recordServerReport(sent, ServerReport(limitPerSecond = limit), nowMs)
        if (limit != null) toldAtMs.putIfAbsent(name, nowMs)
        steering.recordOutcome(spec, sent, AttemptReport(AttemptOutcome.ANSWERED, false, TOOK_MS), nowMs)
    }

    private fun receive(name: InstanceName, nowMs: Long) {
        receivedCount++
        val told = toldAtMs[name]
        if (told != null && nowMs - told >= TOLD_AFTER_MS && name !in excused) countedAtMs.add(nowMs)
    }
}
