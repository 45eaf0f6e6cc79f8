/*
 * Routes through our decisions: one entry instance in each zone, look-ups that clients keep, hand-overs with the delays
 * of the document, and a claim in a table service that stands in the first region.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.RecordedAnswer
import org.cardamomwharf.decision.lookup.lookupViewOf
import org.cardamomwharf.decision.lookup.rank
import org.cardamomwharf.decision.membership.ListedInstance
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.decision.newEntryState
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.decision.requests.RequestOrigin
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.decision.servers.ListedServer
import org.cardamomwharf.decision.step

private const val TICK_MS = 50.0
private const val CLIENT_TRIES = 3
private const val LARGEST_OPEN = 5_000
private val nowhere = SocketAddress("127.0.0.1", 1)

/** Represents the routing of this project. */
public class WharfRouter(private val world: PolicyWorld) : Router {
    override val name: String = "cardamomwharf"

    private val entries = world.zones.associateWith { Entry(it) }
    private val kept = HashMap<String, KeptLookup>()
    private val chains = HashMap<RequestId, Chain>()
    private var nextId = 1L

    override fun start() {
        val listed = entries.values.map { ListedInstance(it.member.name, it.member.zone, nowhere, nowhere) }
        val servers = world.servers.map {
            ListedServer(ServerName(it.place.name), it.place.service, it.place.zone, nowhere)
        }
        for (entry in entries.values) {
            deliver(entry, EntryEvent.DocumentFetched(DocumentHead(DocumentVersion(1), "1"), world.document))
            deliver(entry, EntryEvent.ListRead(listed, servers))
            tick(entry)
        }
    }

    private fun tick(entry: Entry) {
        if (world.isLost(entry.member.zone)) return
        deliver(entry, EntryEvent.Tick(0))
        world.time.plan(TICK_MS) { tick(entry) }
    }

    override fun route(request: PolicyRequest, onEnd: (PolicyEnd, String) -> Unit) {
        send(ClientTry(request, world.time.nowMs + request.deadlineMs, onEnd))
    }

    private fun send(attempt: ClientTry) {
        val addresses = lookUp(attempt.request)
        val name = addresses.getOrNull(attempt.tries % addresses.size.coerceAtLeast(1))
        val entry = entries.values.firstOrNull { it.member.name == name }
        attempt.tries++
        if (entry == null) {
            attempt.onEnd(PolicyEnd.NOT_RUN, "no-instance")
            return
        }
        val delayMs = world.clientDelayMs(attempt.request.zone, entry.member.zone)
        world.time.plan(delayMs) {
            if (world.isLost(entry.member.zone)) {
                world.time.plan(delayMs) { end(attempt, Reason.PEER_UNREACHABLE, null) }
            } else {
                arrive(entry, attempt, delayMs)
            }
        }
    }

    private fun arrive(entry: Entry, attempt: ClientTry, delayMs: Double) {
        val request = attempt.request
        val spec = RequestSpec(
            id = RequestId(nextId++),
            service = request.service,
            origin = RequestOrigin.CALLER,
            isIdempotent = request.isIdempotent,
            requestBytes = 0,
            deadlineAtMs = attempt.endAtMs,
            clientZone = request.zone,
            key = if (request.isIdempotent) null else "key-${request.number}",
            binding = attempt.binding,
            fingerprint = "print",
        )
        chains[spec.id] = Chain(spec) { answer -> world.time.plan(delayMs) { end(attempt, answer.reason, answer.offer) } }
        deliver(entry, EntryEvent.RequestArrived(spec))
    }

    private fun end(attempt: ClientTry, reason: Reason, offer: Binding?) {
        val isRepeatable = reason.outcome == Outcome.NOT_RUN && attempt.tries < CLIENT_TRIES
        attempt.binding = offer
        if (offer != null) attempt.tries--
        when {
            reason.outcome == Outcome.RAN -> attempt.onEnd(PolicyEnd.RAN, reason.code)
            isRepeatable && world.time.nowMs < attempt.endAtMs -> send(attempt)
            reason.outcome == Outcome.NOT_RUN -> attempt.onEnd(PolicyEnd.NOT_RUN, reason.code)
            else -> attempt.onEnd(PolicyEnd.UNKNOWN, reason.code)
        }
    }

    private fun lookUp(request: PolicyRequest): List<InstanceName> {
        val key = "${request.service.value}/${request.client}"
        val known = kept[key]
        if (known != null && world.time.nowMs < known.untilMs) return known.names
        val asked = entries.values.firstOrNull { it.member.zone == request.zone && !world.isLost(request.zone) }
            ?: entries.values.first { !world.isLost(it.member.zone) }
        val view = lookupViewOf(asked.state, world.time.nowMs)
        val service = world.index.services.getValue(request.service)
        val names = view?.rank(service, request.zone, request.client).orEmpty().map { it.candidate.member.name }
        kept[key] = KeptLookup(names, world.time.nowMs + service.cacheTtlMs)
        return names
    }

    private fun deliver(entry: Entry, event: EntryEvent) {
        if (world.isLost(entry.member.zone)) return
        val step = step(entry.state, event, world.time.nowMs)
        entry.state = step.state
        step.effects.forEach { perform(entry, it) }
    }

    private fun perform(entry: Entry, effect: EntryEffect) {
        when (effect) {
            is EntryEffect.OnClaim -> callStore(entry, effect)
            is EntryEffect.Forward -> forward(entry, effect)
            is EntryEffect.HandOver -> handOver(entry, effect)
            is EntryEffect.Answer -> chains.remove(effect.request)?.onAnswer?.invoke(effect)
            is EntryEffect.SendSummary -> effect.addresses.forEach { to ->
                tell(entry, to.name, EntryEvent.SummaryHeard(effect.summary, isPassedOn = false))
            }
            else -> Unit
        }
    }

    private fun tell(from: Entry, to: InstanceName, event: EntryEvent) {
        val target = entries.values.first { it.member.name == to }
        world.time.plan(world.delayMs(from.member.zone, target.member.zone)) { deliver(target, event) }
    }

    private fun callStore(entry: Entry, effect: EntryEffect.OnClaim) {
        if (effect is EntryEffect.ReleaseClaim || effect is EntryEffect.RecordAnswer) return
        val delayMs = 2 * world.delayMs(entry.member.zone, world.zones.first()) + 1
        val reply = if (world.case.isStoreDown) ClaimReply.Unavailable else ClaimReply.Written
        world.time.plan(delayMs) { deliver(entry, EntryEvent.ClaimAnswered(effect.request, reply)) }
    }

    private fun forward(entry: Entry, effect: EntryEffect.Forward) {
        world.serversByName.getValue(effect.server.value).take { hasRun ->
            val result = if (hasRun) AttemptResult.Answered(answer) else AttemptResult.Refused(Reason.SERVER_REFUSED)
            deliver(entry, EntryEvent.AttemptEnded(effect.attempt, result))
        }
    }

    private fun handOver(entry: Entry, effect: EntryEffect.HandOver) {
        val spec = chains[effect.request]?.spec ?: return
        val target = entries.values.first { it.member.name == effect.peer }
        val handed = spec.copy(id = RequestId(nextId++), origin = RequestOrigin.PEER, attempt = effect.claimAttempt)
        val delayMs = world.delayMs(entry.member.zone, target.member.zone)
        val back = { result: AttemptResult ->
            world.time.plan(delayMs) { deliver(entry, EntryEvent.AttemptEnded(effect.attempt, result)) }
        }
        world.time.plan(delayMs) {
            chains[handed.id] = Chain(handed) { back(resultOf(it)) }
            if (world.isLost(target.member.zone)) {
                back(AttemptResult.NotSent(Reason.PEER_UNREACHABLE))
            } else {
                deliver(target, EntryEvent.RequestArrived(handed))
            }
        }
    }

    private fun resultOf(answered: EntryEffect.Answer): AttemptResult = when (answered.reason.outcome) {
        Outcome.RAN -> AttemptResult.Answered(answer)
        Outcome.NOT_RUN -> AttemptResult.Refused(answered.reason)
        Outcome.UNKNOWN -> AttemptResult.Lost(answered.reason)
    }

    private inner class Entry(zone: ZoneName) {
        val member = Member(InstanceName("entry-${zone.value}"), Incarnation(1), zone, nowhere, nowhere)
        var state = newEntryState(member, MembershipSettings(), EntryLimits(LARGEST_OPEN), world.time.nowMs)
    }

    private class Chain(val spec: RequestSpec, val onAnswer: (EntryEffect.Answer) -> Unit)

    private class KeptLookup(val names: List<InstanceName>, val untilMs: Long)

    private class ClientTry(
        val request: PolicyRequest,
        val endAtMs: Long,
        val onEnd: (PolicyEnd, String) -> Unit,
    ) {
        var tries = 0
        var binding: Binding? = null
    }

    private companion object {
        val answer = RecordedAnswer(200, "", "")
    }
}
