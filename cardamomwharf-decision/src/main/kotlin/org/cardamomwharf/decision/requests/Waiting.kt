/*
 * Requests that wait for a slot of a backend server of the zone, as long as their deadline allows it. They also wait
 * while servers change hands between the instances of the zone.
 */
package org.cardamomwharf.decision.requests

import kotlinx.collections.immutable.persistentSetOf
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.Turn

internal fun Turn.waitOrRefuse(
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
    refusal: HandOverRefusal?,
) {
    if (canWait(request, service, current)) {
        if (request.phase != Phase.Waiting || !isQueued(request)) {
            update(request.copy(phase = Phase.Waiting))
            changeRequests { it.enqueue(service.name, request.spec.id) }
        }
        return
    }
    end(request, refusalReason(request, service, current, refusal))
}

internal fun Turn.isQueued(request: OpenRequest): Boolean =
    state.requests.waiting[request.spec.service]?.contains(request.spec.id) == true

private fun Turn.canWait(request: OpenRequest, service: Service, current: DocumentIndex): Boolean {
    val isOwn = request.spec.origin == RequestOrigin.CALLER && !isDrainedHere(service)
    if (!isOwn || isQueued(request)) return isOwn
    val view = poolViewOf(state, current, service, nowMs)
    val slots = view.servers.count { !it.isLeaving && it.name !in request.triedServers } * view.slotsPerUpstream
    return slots > 0 && isWaitShort(request, service, slots)
}

private fun Turn.isWaitShort(request: OpenRequest, service: Service, slots: Int): Boolean {
    val ahead = state.requests.countWaiting(service.name)
    val serviceMs = expectMs(service)
    val waitMs = (ahead + 1) * serviceMs / slots
    val isInTime = waitMs + serviceMs <= request.spec.deadlineAtMs - nowMs
    val isShort = waitMs <= serviceMs * policy.largestWaitPercent / WHOLE_PERCENT
    return isInTime && isShort && ahead < state.limits.largestWaiting
}

private fun Turn.refusalReason(
    request: OpenRequest,
    service: Service,
    current: DocumentIndex,
    refusal: HandOverRefusal?,
): Reason {
    val hasServers = poolViewOf(state, current, service, nowMs).servers.isNotEmpty()
    return when {
        request.lastRefusal != null -> request.lastRefusal
        refusal is HandOverRefusal.Capped -> Reason.CAP_REACHED
        isDrainedHere(service) -> Reason.DRAINED
        hasServers || refusal is HandOverRefusal.Full -> Reason.NO_SLOT
        else -> Reason.NO_SERVER
    }
}

/** Gives slots that have become free to waiting requests, the heaviest first and else in order of arrival. */
internal fun Turn.wakeWaiting() {
    val current = index ?: return
    for (service in current.document.services.sortedByDescending { it.weight }) {
        wakeService(service, current)
    }
}

private fun Turn.wakeService(service: Service, current: DocumentIndex) {
    val queue = state.requests.waiting[service.name].orEmpty()
    if (queue.isEmpty()) return
    val waiting = queue.mapNotNull { find(it) }.sortedBy { it.spec.isIdempotent }
    for (request in waiting) {
        val isSent = !isDrainedHere(service) && sendToServer(request, service, current)
        if (!isSent && poolViewOf(state, current, service, nowMs).freeSlots == 0) return
    }
}

private const val LARGEST_HAND_OVERS_PER_TICK = 8
private const val WHOLE_PERCENT = 100

/** Hands waiting requests over to instances that have slots again. */
internal fun Turn.handOverWaiting() {
    val current = index ?: return
    for (service in current.document.services.sortedByDescending { it.weight }) {
        state.requests.waiting[service.name].orEmpty()
            .take(LARGEST_HAND_OVERS_PER_TICK)
            .mapNotNull { find(it) }
            .filter { it.attempts < policy.maxAttempts }
            .forEach { handOver(it.copy(triedPeers = persistentSetOf()), service, current) }
    }
}
