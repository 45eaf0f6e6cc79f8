/*
 * Simulates several entry instances of one zone with a fake table service and fake backend servers, in virtual time.
 * Message delays vary; replies of the table service are lost; servers refuse, lose responses or are unreachable;
 * instances are killed, paused and restarted. Callers repeat their keys through any instance.
 */
package org.cardamomwharf.decision.session

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.ClaimRow
import org.cardamomwharf.decision.claims.ClaimState
import org.cardamomwharf.decision.claims.RecordedResponse
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.decision.requests.RequestOrigin
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.decision.support.BOOKINGS
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.START_MS
import org.cardamomwharf.decision.support.createListedInstance
import org.cardamomwharf.decision.support.createMember
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.createServers
import org.cardamomwharf.decision.support.sampleDocument
import java.util.PriorityQueue
import kotlin.random.Random

private const val TICK_MS = 50L
private const val DEADLINE_MS = 3_000L

/** Defines the rates of faults in percent. */
data class FaultRates(
    val storeLost: Int = 15,
    val storeDown: Int = 5,
    val refused: Int = 10,
    val unreachable: Int = 10,
    val responseLost: Int = 10,
    val handOverCut: Int = 10,
)

class BookingSimulation(seed: Long, private val rates: FaultRates = FaultRates()) {
    private val random = Random(seed)
    private val names = listOf("e1", "e2", "e3").map(::InstanceName)
    private val entries = names.associateWith { EntryHarness(createMember(it.value)) }.toMutableMap()
    private val timeline = PriorityQueue<Planned>(compareBy({ it.atMs }, { it.order }))
    private val rows = mutableMapOf<String, ClaimRow>()
    private val pausedUntilMs = mutableMapOf<InstanceName, Long>()
    private val handedOver = mutableMapOf<RequestId, HandedOver>()
    private val requestsOf = mutableMapOf<RequestId, String>()
    private var order = 0L
    private var nextRequest = 1L
    private var nextIncarnation = 100L
    private var nowMs = START_MS
    private var isStoreDown = false

    /** The number of runs of each key at a backend server. */
    val runs = mutableMapOf<String, Int>()

    /** The caller requests that a backend server ran, directly or after a hand-over. */
    private val executed = mutableSetOf<RequestId>()

    /** Requests that were reported to the caller as not run. */
    private val reportedNotRun = mutableSetOf<RequestId>()

    /** Requests that were reported as not run although they ran, before or after the report. */
    val ranDespiteNotRun: Set<RequestId> get() = reportedNotRun intersect executed

    val outcomes = mutableMapOf<RequestId, Reason>()

    fun start() {
        names.forEach { initialize(it) }
        plan(0) { tickAll() }
    }

    private fun initialize(name: InstanceName) {
        val entry = entries.getValue(name)
        entry.nowMs = nowMs
        entry.adopt(sampleDocument())
        val listed = entries.values.map { createListedInstance(it.member) }
        entry.handle(EntryEvent.PlatformListRead(listed, createServers(NORTH_A)))
    }

    /** Plans [count] bookings over [spanMs]; each key is sent up to three times, through any instances. */
    fun book(count: Int, spanMs: Long) {
        repeat(count) { number ->
            val key = "key-$number"
            val firstMs = 6_000 + random.nextLong(spanMs)
            repeat(1 + random.nextInt(3)) { plan(firstMs + random.nextLong(2_500)) { submit(key) } }
        }
    }

    fun scheduleFaults(spanMs: Long) {
        repeat(4) { plan(6_000 + random.nextLong(spanMs)) { pausedUntilMs[names.random(random)] = nowMs + 4_000 } }
        repeat(3) { plan(6_000 + random.nextLong(spanMs)) { restart(names.random(random)) } }
        val outageMs = 6_000 + random.nextLong(spanMs)
        plan(outageMs) { isStoreDown = true }
        plan(outageMs + 3_000) { isStoreDown = false }
    }

    fun run(untilMs: Long) {
        while (timeline.isNotEmpty() && timeline.peek().atMs <= START_MS + untilMs) {
            val planned = timeline.poll()
            nowMs = planned.atMs
            planned.act()
        }
    }

    private fun submit(key: String) {
        val name = names.random(random)
        val id = RequestId(nextRequest++)
        requestsOf[id] = key
        val spec = createRequest(id.value, BOOKINGS, nowMs + DEADLINE_MS, key = key)
        deliver(name, EntryEvent.RequestArrived(spec))
    }

    private fun restart(name: InstanceName) {
        entries[name] = EntryHarness(createMember(name.value, incarnation = nextIncarnation++))
        pausedUntilMs.remove(name)
        initialize(name)
    }

    private fun tickAll() {
        names.forEach { deliver(it, EntryEvent.Tick(0)) }
        plan(TICK_MS) { tickAll() }
    }

    private fun deliver(name: InstanceName, event: EntryEvent, incarnation: Long? = null) {
        val entry = entries.getValue(name)
        if (incarnation != null && entry.member.incarnation.value != incarnation) return
        val resumeMs = pausedUntilMs[name] ?: 0
        if (resumeMs > nowMs) {
            if (event !is EntryEvent.Tick) plan(resumeMs - nowMs) { deliver(name, event, incarnation) }
            return
        }
        entry.nowMs = nowMs
        entry.handle(event).forEach { perform(name, entry, it) }
    }

    private fun perform(name: InstanceName, entry: EntryHarness, effect: EntryEffect) {
        val incarnation = entry.member.incarnation.value
        when (effect) {
            is EntryEffect.ClaimEffect -> callStore(name, incarnation, effect)
            is EntryEffect.Forward -> forward(name, incarnation, effect)
            is EntryEffect.HandOver -> handOver(name, incarnation, entry, effect)
            is EntryEffect.Respond -> respond(effect)
            is EntryEffect.SendHeartbeat -> effect.addresses.forEach { to ->
                plan(random.nextLong(1, 100)) { deliver(to.name, EntryEvent.HeartbeatReceived(effect.heartbeat)) }
            }
            else -> Unit
        }
    }

    private fun callStore(name: InstanceName, incarnation: Long, effect: EntryEffect.ClaimEffect) {
        val isUnavailable = isStoreDown || occurs(rates.storeDown)
        val isLost = occurs(rates.storeLost)
        val arriveMs = random.nextLong(1, 300)
        val reply = { answer: ClaimReply ->
            plan(random.nextLong(1, 100)) {
                deliver(name, EntryEvent.ClaimReplyReceived(effect.request, answer), incarnation)
            }
        }
        when {
            isUnavailable -> reply(ClaimReply.Unavailable)
            isLost -> {
                reply(ClaimReply.Lost)
                plan(arriveMs) { write(effect) }
            }
            else -> plan(arriveMs) { reply(write(effect)) }
        }
    }

    private fun write(effect: EntryEffect.ClaimEffect): ClaimReply {
        val key = effect.claim.key
        val row = rows[key]
        return when (effect) {
            is EntryEffect.ReadClaim -> row?.let { ClaimReply.Exists(it, createRowVersion(it)) } ?: ClaimReply.Absent
            is EntryEffect.InsertClaim ->
                if (row != null) ClaimReply.Exists(row, createRowVersion(row)) else put(key, effect, ClaimState.CLAIMED)
            is EntryEffect.ReplaceClaim ->
                if (row != null && createRowVersion(row) != effect.rowVersion) {
                    ClaimReply.Exists(row, createRowVersion(row))
                } else {
                    put(key, effect, ClaimState.CLAIMED)
                }
            is EntryEffect.ReleaseClaim -> settle(key, row, effect, ClaimState.RELEASED)
            is EntryEffect.RecordResponse -> settle(key, row, effect, ClaimState.DONE)
        }
    }

    private fun settle(key: String, row: ClaimRow?, effect: EntryEffect.ClaimEffect, state: ClaimState): ClaimReply {
        val isOwned = row == null || row.attempt == effect.attempt && row.state == ClaimState.CLAIMED
        return if (isOwned) put(key, effect, state) else ClaimReply.Written
    }

    private fun put(key: String, effect: EntryEffect.ClaimEffect, state: ClaimState): ClaimReply {
        val answer = (effect as? EntryEffect.RecordResponse)?.response
        rows[key] = ClaimRow(effect.attempt, "print", state, answer)
        return ClaimReply.Written
    }

    private fun createRowVersion(row: ClaimRow): String = "${row.attempt.value}/${row.state}"

    private fun forward(name: InstanceName, incarnation: Long, effect: EntryEffect.Forward) {
        val roll = random.nextInt(100)
        val refusedBelow = rates.refused
        val unreachableBelow = refusedBelow + rates.unreachable
        val lostBelow = unreachableBelow + rates.responseLost
        val result = when {
            roll < refusedBelow -> AttemptResult.Refused(Reason.SERVER_REFUSED)
            roll < unreachableBelow -> AttemptResult.NotSent(Reason.SERVER_UNREACHABLE)
            roll < lostBelow -> AttemptResult.Lost(Reason.CONNECTION_LOST)
            else -> AttemptResult.Completed(RecordedResponse(200, "text/plain", ""))
        }
        val hasRun = result is AttemptResult.Completed || result is AttemptResult.Lost && random.nextBoolean()
        if (hasRun) plan(random.nextLong(1, 40)) { recordRun(effect.request) }
        plan(random.nextLong(41, 400)) { deliver(name, EntryEvent.AttemptEnded(effect.attempt, result), incarnation) }
    }

    private fun recordRun(request: RequestId) {
        val first = handedOver[request]?.origin ?: request
        executed += first
        val key = requestsOf.getValue(first)
        runs[key] = (runs[key] ?: 0) + 1
    }

    private fun handOver(name: InstanceName, incarnation: Long, entry: EntryHarness, effect: EntryEffect.HandOver) {
        val spec = entry.state.requests.open[effect.request]?.spec ?: return
        val id = RequestId(nextRequest++)
        val first = handedOver[effect.request]?.origin ?: effect.request
        handedOver[id] = HandedOver(first, name, incarnation, effect.attempt)
        if (occurs(rates.handOverCut)) {
            val isSent = random.nextBoolean()
            if (isSent) plan(random.nextLong(1, 50)) { receive(effect, spec, id) }
            val result = if (isSent) {
                AttemptResult.Lost(Reason.CONNECTION_LOST)
            } else {
                AttemptResult.NotSent(Reason.PEER_UNREACHABLE)
            }
            plan(random.nextLong(1, 100)) {
                deliver(name, EntryEvent.AttemptEnded(effect.attempt, result), incarnation)
            }
            handedOver[id] = HandedOver(first, name, incarnation, AttemptId("cut"))
        } else {
            plan(random.nextLong(1, 50)) { receive(effect, spec, id) }
        }
    }

    private fun receive(effect: EntryEffect.HandOver, spec: RequestSpec, id: RequestId) {
        val handed = spec.copy(id = id, origin = RequestOrigin.PEER, attempt = effect.claimAttempt)
        deliver(effect.peer, EntryEvent.RequestArrived(handed))
    }

    private fun respond(effect: EntryEffect.Respond) {
        val origin = handedOver[effect.request]
        if (origin == null) {
            outcomes[effect.request] = effect.reason
            if (effect.reason.outcome == Outcome.NOT_RUN) reportedNotRun += effect.request
            return
        }
        val result = when (effect.reason.outcome) {
            Outcome.RAN -> AttemptResult.Completed(RecordedResponse(200, "text/plain", ""))
            Outcome.NOT_RUN -> AttemptResult.Refused(effect.reason)
            Outcome.UNKNOWN -> AttemptResult.Lost(effect.reason)
        }
        plan(random.nextLong(1, 50)) {
            deliver(origin.name, EntryEvent.AttemptEnded(origin.attempt, result), origin.incarnation)
        }
    }

    private fun occurs(percent: Int): Boolean = random.nextInt(100) < percent

    private fun plan(inMs: Long, act: () -> Unit) {
        timeline += Planned(nowMs + inMs, order++, act)
    }

    private class Planned(val atMs: Long, val order: Long, val act: () -> Unit)

    private class HandedOver(
        val origin: RequestId,
        val name: InstanceName,
        val incarnation: Long,
        val attempt: AttemptId,
    )
}
