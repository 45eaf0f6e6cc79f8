/*
 * Routes through our decisions: one entry instance in each zone, look-ups that clients keep, hand-overs with the delays
 * of the document, and a claim in a table service that stands in the first region.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.lookup.createLookupView
import org.cardamomwharf.decision.lookup.rank
import org.cardamomwharf.decision.requests.RequestOrigin
import org.cardamomwharf.decision.requests.RequestSpec

/** Represents the routing of this project. */
public class WharfRouter(private val world: PolicyWorld) : Router {
    override val name: String = "cardamomwharf"

    private val fleet = FakeFleet(world)
    private val kept = HashMap<String, KeptLookup>()

    override fun start() {
        fleet.start()
    }

    override fun adopt() {
        fleet.feeds.adopt(fleet.entries)
    }

    override fun route(request: PolicyRequest, onEnd: (PolicyEnd, String) -> Unit) {
        send(ClientTry(request, world.time.nowMs + request.deadlineMs, onEnd))
    }

    private fun send(attempt: ClientTry) {
        val addresses = lookUp(attempt.request)
        val name = addresses.getOrNull(attempt.tries % addresses.size.coerceAtLeast(1))
        val entry = fleet.entries.firstOrNull { it.member.name == name }
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

    private fun arrive(entry: FakeEntry, attempt: ClientTry, delayMs: Double) {
        val request = attempt.request
        val spec = RequestSpec(
            id = fleet.newId(),
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
        fleet.submit(entry, spec) { answer ->
            world.time.plan(delayMs) { end(attempt, answer.reason, answer.offeredBinding) }
        }
    }

    private fun end(attempt: ClientTry, reason: Reason, offer: Binding?) {
        val isRepeatable = reason.outcome == Outcome.NOT_RUN && attempt.tries < world.case.clientTries
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
        val asked = fleet.entries.firstOrNull { it.member.zone == request.zone && !world.isLost(request.zone) }
            ?: fleet.entries.first { !world.isLost(it.member.zone) }
        val view = createLookupView(asked.state, world.time.nowMs)
        val service = world.index.services.getValue(request.service)
        val names = view?.rank(service, request.zone, request.client).orEmpty().map { it.candidate.member.name }
        kept[key] = KeptLookup(names, world.time.nowMs + service.cacheTtlMs)
        return names
    }

    private class KeptLookup(val names: List<InstanceName>, val untilMs: Long)

    private class ClientTry(
        val request: PolicyRequest,
        val endAtMs: Long,
        val onEnd: (PolicyEnd, String) -> Unit,
    ) {
        var tries = 0
        var binding: Binding? = null
    }
}
