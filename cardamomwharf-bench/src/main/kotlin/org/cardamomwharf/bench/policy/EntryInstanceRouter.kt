/*
 * Routes through simulated entry instances, one in each zone. Clients cache look-ups, hand-overs take the delays of the
 * document, and claims go to a table service located in the first region.
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

/** Routes requests through simulated entry instances. */
public class EntryInstanceRouter(private val simulation: PolicySimulation) : Router {
    override val name: String = "cardamomwharf"

    private val fleet = SimulatedFleet(simulation)
    private val lookupCache = HashMap<String, CachedLookup>()

    override fun start() {
        fleet.start()
    }

    override fun onDocumentChange() {
        fleet.updates.deliverDocument(fleet.entries)
    }

    override fun route(request: PolicyRequest, onResult: (RequestResult, String) -> Unit) {
        send(ClientRequest(request, simulation.clock.nowMs + request.deadlineMs, onResult))
    }

    private fun send(attempt: ClientRequest) {
        val addresses = lookUp(attempt.request)
        val name = addresses.getOrNull(attempt.attemptCount % addresses.size.coerceAtLeast(1))
        val entry = fleet.entries.firstOrNull { it.member.name == name }
        attempt.attemptCount++
        if (entry == null) {
            attempt.onResult(RequestResult.NOT_RUN, "no-instance")
            return
        }
        val delayMs = simulation.clientDelayMs(attempt.request.zone, entry.member.zone)
        simulation.clock.schedule(delayMs) {
            if (simulation.isInFailedRegion(entry.member.zone)) {
                simulation.clock.schedule(delayMs) { complete(attempt, Reason.PEER_UNREACHABLE, null) }
            } else {
                submit(entry, attempt, delayMs)
            }
        }
    }

    private fun submit(entry: SimulatedInstance, attempt: ClientRequest, delayMs: Double) {
        val request = attempt.request
        val spec = RequestSpec(
            id = fleet.newId(),
            service = request.service,
            origin = RequestOrigin.CALLER,
            isIdempotent = request.isIdempotent,
            requestBytes = 0,
            deadlineAtMs = attempt.deadlineAtMs,
            clientZone = request.zone,
            key = if (request.isIdempotent) null else "key-${request.number}",
            binding = attempt.binding,
            fingerprint = "print",
        )
        fleet.submit(entry, spec) { response ->
            simulation.clock.schedule(delayMs) { complete(attempt, response.reason, response.offeredBinding) }
        }
    }

    private fun complete(attempt: ClientRequest, reason: Reason, offeredBinding: Binding?) {
        val isRetryable = reason.outcome == Outcome.NOT_RUN && attempt.attemptCount < simulation.case.clientAttempts
        attempt.binding = offeredBinding
        if (offeredBinding != null) attempt.attemptCount--
        when {
            reason.outcome == Outcome.RAN -> attempt.onResult(RequestResult.RAN, reason.code)
            isRetryable && simulation.clock.nowMs < attempt.deadlineAtMs -> send(attempt)
            reason.outcome == Outcome.NOT_RUN -> attempt.onResult(RequestResult.NOT_RUN, reason.code)
            else -> attempt.onResult(RequestResult.UNKNOWN, reason.code)
        }
    }

    private fun lookUp(request: PolicyRequest): List<InstanceName> {
        val key = "${request.service.value}/${request.client}"
        val cached = lookupCache[key]
        if (cached != null && simulation.clock.nowMs < cached.expiresAtMs) return cached.names
        val instance = fleet.entries
            .firstOrNull { it.member.zone == request.zone && !simulation.isInFailedRegion(request.zone) }
            ?: fleet.entries.first { !simulation.isInFailedRegion(it.member.zone) }
        val view = createLookupView(instance.state, simulation.clock.nowMs)
        val service = simulation.index.services.getValue(request.service)
        val names = view?.rank(service, request.zone, request.client).orEmpty().map { it.candidate.member.name }
        lookupCache[key] = CachedLookup(names, simulation.clock.nowMs + service.cacheTtlMs)
        return names
    }

    private class CachedLookup(val names: List<InstanceName>, val expiresAtMs: Long)

    private class ClientRequest(
        val request: PolicyRequest,
        val deadlineAtMs: Long,
        val onResult: (RequestResult, String) -> Unit,
    ) {
        var attemptCount = 0
        var binding: Binding? = null
    }
}
