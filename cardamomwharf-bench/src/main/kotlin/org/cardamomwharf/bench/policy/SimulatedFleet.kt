/*
 * Simulates the entry instances of a policy run, one in each zone, and performs their effects: forwarding to servers,
 * hand-overs, summaries, and claims in a table service located in the first region.
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
private const val MAX_OPEN_REQUESTS = 5_000
private val unusedAddress = SocketAddress("127.0.0.1", 1)
private val sampleResponse = RecordedResponse(StatusCode.OK, "", "")

/** Represents one simulated entry instance. */
internal class SimulatedInstance(zone: ZoneName, nowMs: Long) {
    val member = Member(InstanceName("entry-${zone.value}"), Incarnation(1), zone, unusedAddress, unusedAddress)
    var state = newEntryState(member, MembershipSettings(), EntryLimits(MAX_OPEN_REQUESTS), nowMs)
}

/** Represents all simulated entry instances. */
internal class SimulatedFleet(private val simulation: PolicySimulation) {
    val entries = simulation.zones.map { SimulatedInstance(it, simulation.clock.nowMs) }
    private val activeRequests = HashMap<RequestId, ActiveRequest>()
    private var nextId = 1L
    val updates = InstanceUpdates(simulation, ::deliver)

    fun newId(): RequestId = RequestId(nextId++)

    fun submit(entry: SimulatedInstance, spec: RequestSpec, onResponse: (EntryEffect.Respond) -> Unit) {
        activeRequests[spec.id] = ActiveRequest(spec, onResponse)
        deliver(entry, EntryEvent.RequestArrived(spec))
    }

    fun start() {
        val listed = entries.map { ListedInstance(it.member.name, it.member.zone, unusedAddress, unusedAddress) }
        val servers = simulation.servers.map {
            ListedServer(ServerName(it.config.name), it.config.service, it.config.zone, unusedAddress)
        }
        for (entry in entries) {
            deliver(entry, EntryEvent.DocumentFetched(DocumentHead(DocumentVersion(1), "1"), simulation.document))
            deliver(entry, EntryEvent.PlatformListRead(listed, servers))
            tick(entry)
            updates.pollLoads(entry)
        }
    }

    private fun tick(entry: SimulatedInstance) {
        if (simulation.isInFailedRegion(entry.member.zone)) return
        deliver(entry, EntryEvent.Tick(0))
        simulation.clock.schedule(TICK_MS) { tick(entry) }
    }

    private fun deliver(entry: SimulatedInstance, event: EntryEvent) {
        if (simulation.isInFailedRegion(entry.member.zone)) return
        val step = step(entry.state, event, simulation.clock.nowMs)
        entry.state = step.state
        step.effects.forEach { perform(entry, it) }
    }

    private fun perform(entry: SimulatedInstance, effect: EntryEffect) {
        when (effect) {
            is EntryEffect.ClaimEffect -> sendClaim(entry, effect)
            is EntryEffect.Forward -> forward(entry, effect)
            is EntryEffect.HandOver -> handOver(entry, effect)
            is EntryEffect.Respond -> activeRequests.remove(effect.request)?.onResponse?.invoke(effect)
            is EntryEffect.SendSummary -> effect.addresses.forEach { to ->
                val target = entries.first { it.member.name == to.name }
                val event = EntryEvent.SummaryReceived(effect.summary, isRelayed = false)
                val delayMs = simulation.delayMs(entry.member.zone, target.member.zone)
                simulation.clock.schedule(delayMs) { deliver(target, event) }
            }
            else -> Unit
        }
    }

    private fun sendClaim(entry: SimulatedInstance, effect: EntryEffect.ClaimEffect) {
        if (effect is EntryEffect.ReleaseClaim || effect is EntryEffect.RecordResponse) return
        val delayMs = 2 * simulation.delayMs(entry.member.zone, simulation.zones.first()) + 1
        val claimReply = if (simulation.case.isStoreDown) ClaimReply.Unavailable else ClaimReply.Written
        simulation.clock.schedule(delayMs) { deliver(entry, EntryEvent.ClaimReplyReceived(effect.request, claimReply)) }
    }

    private fun forward(entry: SimulatedInstance, effect: EntryEffect.Forward) {
        val server = simulation.serversByName.getValue(effect.server.value)
        val from = activeRequests[effect.request]?.spec?.clientZone
        if (from != null) simulation.recordShift(from, server)
        server.submit { hasRun ->
            val result =
                if (hasRun) AttemptResult.Completed(sampleResponse) else AttemptResult.Refused(Reason.SERVER_REFUSED)
            deliver(entry, EntryEvent.AttemptEnded(effect.attempt, result))
        }
    }

    private fun handOver(entry: SimulatedInstance, effect: EntryEffect.HandOver) {
        val spec = activeRequests[effect.request]?.spec ?: return
        val target = entries.first { it.member.name == effect.peer }
        val handedOverSpec = spec.copy(id = newId(), origin = RequestOrigin.PEER, attempt = effect.claimAttempt)
        val delayMs = simulation.delayMs(entry.member.zone, target.member.zone)
        val reply = { result: AttemptResult ->
            simulation.clock.schedule(delayMs) { deliver(entry, EntryEvent.AttemptEnded(effect.attempt, result)) }
        }
        simulation.clock.schedule(delayMs) {
            if (simulation.isInFailedRegion(target.member.zone)) {
                reply(AttemptResult.NotSent(Reason.PEER_UNREACHABLE))
            } else {
                submit(target, handedOverSpec) { reply(toAttemptResult(it)) }
            }
        }
    }

    private fun toAttemptResult(response: EntryEffect.Respond): AttemptResult = when (response.reason.outcome) {
        Outcome.RAN -> AttemptResult.Completed(sampleResponse)
        Outcome.NOT_RUN -> AttemptResult.Refused(response.reason)
        Outcome.UNKNOWN -> AttemptResult.Lost(response.reason)
    }

    private class ActiveRequest(val spec: RequestSpec, val onResponse: (EntryEffect.Respond) -> Unit)
}
