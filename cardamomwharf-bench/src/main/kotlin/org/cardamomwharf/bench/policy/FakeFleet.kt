/*
 * The entry instances of a policy run, one in each zone, with the effects of their decisions: servers, hand-overs,
 * summaries and a table service that stands in the first region.
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
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.claims.RecordedResponse
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
private const val LARGEST_OPEN = 5_000
private val nowhere = SocketAddress("127.0.0.1", 1)
private val answer = RecordedResponse(StatusCode.OK, "", "")

/** Represents one entry instance. */
internal class FakeEntry(zone: ZoneName, nowMs: Long) {
    val member = Member(InstanceName("entry-${zone.value}"), Incarnation(1), zone, nowhere, nowhere)
    var state = newEntryState(member, MembershipSettings(), EntryLimits(LARGEST_OPEN), nowMs)
}

/** Represents all entry instances. */
internal class FakeFleet(private val world: PolicyWorld) {
    val entries = world.zones.map { FakeEntry(it, world.time.nowMs) }
    private val chains = HashMap<RequestId, Chain>()
    private var nextId = 1L
    val feeds = FleetFeeds(world, ::deliver)

    fun newId(): RequestId = RequestId(nextId++)

    fun submit(entry: FakeEntry, spec: RequestSpec, onAnswer: (EntryEffect.Respond) -> Unit) {
        chains[spec.id] = Chain(spec, onAnswer)
        deliver(entry, EntryEvent.RequestArrived(spec))
    }

    fun start() {
        val listed = entries.map { ListedInstance(it.member.name, it.member.zone, nowhere, nowhere) }
        val servers = world.servers.map {
            ListedServer(ServerName(it.place.name), it.place.service, it.place.zone, nowhere)
        }
        for (entry in entries) {
            deliver(entry, EntryEvent.DocumentFetched(DocumentHead(DocumentVersion(1), "1"), world.document))
            deliver(entry, EntryEvent.PlatformListRead(listed, servers))
            tick(entry)
            feeds.pollLoads(entry)
        }
    }

    private fun tick(entry: FakeEntry) {
        if (world.isLost(entry.member.zone)) return
        deliver(entry, EntryEvent.Tick(0))
        world.time.plan(TICK_MS) { tick(entry) }
    }

    private fun deliver(entry: FakeEntry, event: EntryEvent) {
        if (world.isLost(entry.member.zone)) return
        val step = step(entry.state, event, world.time.nowMs)
        entry.state = step.state
        step.effects.forEach { perform(entry, it) }
    }

    private fun perform(entry: FakeEntry, effect: EntryEffect) {
        when (effect) {
            is EntryEffect.ClaimEffect -> callStore(entry, effect)
            is EntryEffect.Forward -> forward(entry, effect)
            is EntryEffect.HandOver -> handOver(entry, effect)
            is EntryEffect.Respond -> chains.remove(effect.request)?.onAnswer?.invoke(effect)
            is EntryEffect.SendSummary -> effect.addresses.forEach { to ->
                val target = entries.first { it.member.name == to.name }
                val event = EntryEvent.SummaryReceived(effect.summary, isRelayed = false)
                world.time.plan(world.delayMs(entry.member.zone, target.member.zone)) { deliver(target, event) }
            }
            else -> Unit
        }
    }

    private fun callStore(entry: FakeEntry, effect: EntryEffect.ClaimEffect) {
        if (effect is EntryEffect.ReleaseClaim || effect is EntryEffect.RecordResponse) return
        val delayMs = 2 * world.delayMs(entry.member.zone, world.zones.first()) + 1
        val reply = if (world.case.isStoreDown) ClaimReply.Unavailable else ClaimReply.Written
        world.time.plan(delayMs) { deliver(entry, EntryEvent.ClaimReplyReceived(effect.request, reply)) }
    }

    private fun forward(entry: FakeEntry, effect: EntryEffect.Forward) {
        val server = world.serversByName.getValue(effect.server.value)
        val from = chains[effect.request]?.spec?.clientZone
        if (from != null) world.noteShift(from, server)
        server.take { hasRun ->
            val result = if (hasRun) AttemptResult.Completed(answer) else AttemptResult.Refused(Reason.SERVER_REFUSED)
            deliver(entry, EntryEvent.AttemptEnded(effect.attempt, result))
        }
    }

    private fun handOver(entry: FakeEntry, effect: EntryEffect.HandOver) {
        val spec = chains[effect.request]?.spec ?: return
        val target = entries.first { it.member.name == effect.peer }
        val handed = spec.copy(id = newId(), origin = RequestOrigin.PEER, attempt = effect.claimAttempt)
        val delayMs = world.delayMs(entry.member.zone, target.member.zone)
        val back = { result: AttemptResult ->
            world.time.plan(delayMs) { deliver(entry, EntryEvent.AttemptEnded(effect.attempt, result)) }
        }
        world.time.plan(delayMs) {
            if (world.isLost(target.member.zone)) {
                back(AttemptResult.NotSent(Reason.PEER_UNREACHABLE))
            } else {
                submit(target, handed) { back(resultOf(it)) }
            }
        }
    }

    private fun resultOf(answered: EntryEffect.Respond): AttemptResult = when (answered.reason.outcome) {
        Outcome.RAN -> AttemptResult.Completed(answer)
        Outcome.NOT_RUN -> AttemptResult.Refused(answered.reason)
        Outcome.UNKNOWN -> AttemptResult.Lost(answered.reason)
    }

    private class Chain(val spec: RequestSpec, val onAnswer: (EntryEffect.Respond) -> Unit)
}
