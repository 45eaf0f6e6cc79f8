/*
 * One event being handled. The parts of the handling change the state through this class and note their effects in
 * order; nothing of it outlives the step.
 */
package org.cardamomwharf.decision

import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Policy
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.requests.OpenRequest
import org.cardamomwharf.decision.requests.RequestTable
import org.cardamomwharf.decision.requests.put

internal class Turn(var state: EntryState, val nowMs: Long) {
    val effects: MutableList<EntryEffect> = mutableListOf()

    val index: DocumentIndex? get() = state.adoption.index

    val policy: Policy get() = index?.document?.policy ?: Policy()

    /** Returns the time that a request of [service] will take at a backend server. */
    fun expectMs(service: Service): Long = state.serviceTimes.estimateMs(service)

    fun add(effect: EntryEffect) {
        effects += effect
    }

    fun find(id: RequestId): OpenRequest? = state.requests.open[id]

    fun update(request: OpenRequest) {
        changeRequests { it.put(request) }
    }

    fun changeRequests(change: (RequestTable) -> RequestTable) {
        state = state.copy(requests = change(state.requests))
    }
}
