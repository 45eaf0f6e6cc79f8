/*
 * Dispatches a request: to a free slot of an owned backend server, else to an instance of the own zone that has one,
 * else to another zone within the caps on the way, else to the queue if the deadline allows it.
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

/** Returns the view of the backend servers of [service] in the own zone that server selection uses. */
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
        else -> dispatchToTarget(request, service, current)
    }
}

private fun StepContext.dispatchToTarget(request: OpenRequest, service: Service, current: DocumentIndex) {
    if (!isDrainedHere(service) && sendToServer(request, service, current)) return
    val handOver = if (request.spec.origin == RequestOrigin.CALLER) handOver(request, service, current) else null
    if (handOver !is HandOverOutcome.Sent) waitOrRefuse(request, service, current, handOver)
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
    val attempt = startAttempt(request, Target.Server(server.name))
    state = state.copy(servers = state.servers.update(server.name) { it.startRequest() })
    emit(
        EntryEffect.Forward(
            request = request.spec.id,
            attempt = attempt,
            server = server.name,
            address = server.listed.address,
            isFreshConnection = !request.spec.isIdempotent,
        ),
    )
}

/** Charges a retry to the retry budget; called only once a target for it has been found. */
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
