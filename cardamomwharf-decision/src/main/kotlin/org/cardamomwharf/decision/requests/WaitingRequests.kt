/*
 * Queues requests for a slot of a backend server of the own zone while their deadline allows it. They also wait while
 * the ownership of servers moves between the instances of the zone.
 */
package org.cardamomwharf.decision.requests

import kotlinx.collections.immutable.persistentSetOf
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.StepContext

internal fun StepContext.waitOrRefuse(
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
    handOver: HandOverOutcome?,
) {
    if (canWait(request, service, current)) {
        if (request.phase != Phase.Waiting || !isQueued(request)) {
            updateRequest(request.copy(phase = Phase.Waiting))
            updateRequests { it.enqueue(service.name, request.spec.id) }
        }
        return
    }
    endRequest(request, findRefusalReason(request, service, current, handOver))
}

internal fun StepContext.isQueued(request: OpenRequest): Boolean =
    state.requests.waiting[request.spec.service]?.contains(request.spec.id) == true

private fun StepContext.canWait(request: OpenRequest, service: Service, current: DocumentIndex): Boolean {
    val isOwn = request.spec.origin == RequestOrigin.CALLER && !isDrainedHere(service)
    if (!isOwn || isQueued(request)) return isOwn
    val view = createPoolView(state, current, service, nowMs)
    val slots = view.servers.count { !it.isLeaving && it.name !in request.triedServers } * view.slotsPerUpstream
    return slots > 0 && isWaitShort(request, service, slots)
}

private fun StepContext.isWaitShort(request: OpenRequest, service: Service, slots: Int): Boolean {
    val ahead = state.requests.countWaiting(service.name)
    val serviceMs = estimateServiceMs(service)
    val waitMs = (ahead + 1) * serviceMs / slots
    val isInTime = waitMs + serviceMs <= request.spec.deadlineAtMs - nowMs
    val isShort = waitMs <= serviceMs * policy.largestWaitPercent / WHOLE_PERCENT
    return isInTime && isShort && ahead < state.limits.largestWaiting
}

private fun StepContext.findRefusalReason(
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
    handOver: HandOverOutcome?,
): Reason {
    val hasServers = createPoolView(state, current, service, nowMs).servers.isNotEmpty()
    return when {
        request.lastRefusalReason != null -> request.lastRefusalReason
        handOver is HandOverOutcome.CapReached -> Reason.CAP_REACHED
        isDrainedHere(service) -> Reason.DRAINED
        hasServers || handOver is HandOverOutcome.NoFreeSlot -> Reason.NO_SLOT
        else -> Reason.NO_SERVER
    }
}

/** Dispatches waiting requests to free slots: highest service weight first, then in order of arrival. */
internal fun StepContext.dispatchWaiting() {
    val current = index ?: return
    for (service in current.document.services.sortedByDescending { it.weight }) {
        dispatchQueue(service, current)
    }
}

private fun StepContext.dispatchQueue(service: Service, current: DocumentIndex) {
    val queue = state.requests.waiting[service.name].orEmpty()
    if (queue.isEmpty()) return
    val waiting = queue.mapNotNull { findRequest(it) }.sortedBy { it.spec.isIdempotent }
    for (request in waiting) {
        val isSent = !isDrainedHere(service) && sendToServer(request, service, current)
        if (!isSent && createPoolView(state, current, service, nowMs).freeSlots == 0) return
    }
}

private const val MAX_HAND_OVERS_PER_TICK = 8
private const val WHOLE_PERCENT = 100

/** Hands waiting requests over to instances that have free slots. */
internal fun StepContext.handOverWaiting() {
    val current = index ?: return
    for (service in current.document.services.sortedByDescending { it.weight }) {
        state.requests.waiting[service.name].orEmpty()
            .take(MAX_HAND_OVERS_PER_TICK)
            .mapNotNull { findRequest(it) }
            .filter { it.attempts < policy.maxAttempts }
            .forEach { handOver(it.copy(triedPeers = persistentSetOf()), service, current) }
    }
}
