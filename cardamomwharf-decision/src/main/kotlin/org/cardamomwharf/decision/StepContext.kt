/*
 * Holds the state while one event is handled, and collects the effects in order. It is discarded after the step.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Policy
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.requests.OpenRequest
import org.cardamomwharf.decision.requests.RequestTable
import org.cardamomwharf.decision.requests.put

internal class StepContext(var state: EntryState, val nowMs: Long) {
    val effects: MutableList<EntryEffect> = mutableListOf()

    val index: DocumentIndex? get() = state.adoption.index

    val policy: Policy get() = index?.document?.policy ?: Policy()

    /** Returns the expected processing time of a request of [service] at a backend server. */
    fun estimateServiceMs(service: Service): Long = state.serviceTimes.estimateMs(service)

    fun emit(effect: EntryEffect) {
        effects += effect
    }

    fun findRequest(id: RequestId): OpenRequest? = state.requests.open[id]

    fun updateRequest(request: OpenRequest) {
        updateRequests { it.put(request) }
    }

    fun updateRequests(change: (RequestTable) -> RequestTable) {
        state = state.copy(requests = change(state.requests))
    }
}
