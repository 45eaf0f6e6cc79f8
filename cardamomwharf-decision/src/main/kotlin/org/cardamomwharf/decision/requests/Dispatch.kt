/*
 * Finds a place for a request: a free slot of an owned backend server, then an instance of the own zone that has one,
 * then another zone under the caps of the way there, then a short wait if the deadline allows it.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryState
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.retry.recordRetry
import org.cardamomwharf.decision.servers.PoolView
import org.cardamomwharf.decision.servers.ServerState
import org.cardamomwharf.decision.servers.selectServer
import org.cardamomwharf.decision.servers.startRequest
import org.cardamomwharf.decision.servers.update

/** Returns the backend servers of [service] in the own zone as the selection needs them. */
internal fun createPoolView(state: EntryState, index: DocumentIndex, service: Service, nowMs: Long): PoolView {
    val pool = index.findPool(service.name, state.membership.self.zone)
    return PoolView(
        servers = state.servers.findServers(service.name),
        owned = state.ownership.servers,
        slotsPerUpstream = pool?.slotsPerUpstream ?: 0,
        policy = index.document.policy.copy(
            reservedSlotsPercent = if (service.isIdempotent) 0 else index.document.policy.reservedSlotsPercent,
        ),
        nowMs = nowMs,
    )
}

internal fun StepContext.dispatch(id: RequestId) {
    val request = findRequest(id) ?: return
    val current = index
    val service = current?.services?.get(request.spec.service)
    when {
        current == null || service == null -> endRequest(request, Reason.UNKNOWN_SERVICE)
        request.spec.deadlineAtMs - nowMs < estimateServiceMs(service) -> endRequest(request, Reason.DEADLINE_PASSED)
        else -> dispatchWithin(request, service, current)
    }
}

private fun StepContext.dispatchWithin(request: OpenRequest, service: Service, current: DocumentIndex) {
    if (!isDrainedHere(service) && sendToServer(request, service, current)) return
    val refusal = if (request.spec.origin == RequestOrigin.CALLER) handOver(request, service, current) else null
    if (refusal !is HandOverOutcome.Sent) waitOrRefuse(request, service, current, refusal)
}

internal fun StepContext.isDrainedHere(service: Service): Boolean =
    index?.isDrained(service.name, state.membership.self.zone, state.epochSeconds) == true

internal fun StepContext.sendToServer(request: OpenRequest, service: Service, current: DocumentIndex): Boolean {
    val view = createPoolView(state, current, service, nowMs)
    val server = view.selectServer(mayUseReservedCapacity(request.spec, service), request.triedServers) ?: return false
    forward(request, server)
    return true
}

private fun StepContext.forward(request: OpenRequest, server: ServerState) {
    val running = startAttempt(request, Target.Server(server.name))
    state = state.copy(servers = state.servers.update(server.name) { it.startRequest() })
    emit(
        EntryEffect.Forward(
            request = request.spec.id,
            attempt = running,
            server = server.name,
            address = server.listed.address,
            isFreshConnection = !request.spec.isIdempotent,
        ),
    )
}

/** Charges a further try to the budget, and only once there is a place for it. */
private fun StepContext.recordRetry(request: OpenRequest) {
    val reason = request.lastRefusalReason ?: return
    if (request.spec.isIdempotent) state = state.copy(retryBudget = state.retryBudget.recordRetry())
    emit(EntryEffect.CountRetry(request.spec.service, reason))
}

internal fun StepContext.startAttempt(request: OpenRequest, target: Target) = newAttemptId(
    request.spec,
    request.attempts + 1,
).also { attempt ->
    recordRetry(request)
    updateRequests { table ->
        val unqueued = table.unqueue(request.spec.service, request.spec.id)
        unqueued.copy(
            attempts = unqueued.attempts.put(
                attempt,
                RunningAttempt(request.spec.id, request.spec.service, target, nowMs)
            ),
        )
    }
    updateRequest(request.copy(phase = Phase.Running(attempt), attempts = request.attempts + 1))
}
