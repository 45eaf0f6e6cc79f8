/*
 * Registry of the open requests by ID. The decision logic works with IDs alone; the registry holds the payload of each
 * request, the receiver of its final response, and the response of its latest attempt until it is relayed or dropped.
 */
package org.cardamomwharf.entry.requests

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.peer.HandedOverRequest
import org.cardamomwharf.peer.HandedOverResponse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Receives the final response of a request; it is called once and must not block. */
public fun interface ResponseReceiver {
    /** Receives the final response; [serverResponse] is present if the request was executed now. */
    public fun receive(effect: EntryEffect.Respond, serverResponse: HandedOverResponse?)
}

/** Represents an open request with the content that is sent to a backend server. */
public class RegisteredRequest(
    public val spec: RequestSpec,
    public val forwardedRequest: HandedOverRequest,
    public val receiver: ResponseReceiver,
)

/** Holds the open requests of this process. */
public class RequestRegistry {
    private val nextId = AtomicLong()
    private val requests = ConcurrentHashMap<RequestId, RegisteredRequest>()
    private val responses = ConcurrentHashMap<RequestId, AttemptResponse>()

    /** The number of open requests. */
    public val size: Int get() = requests.size

    /** The number of attempt responses that are stored for open requests. */
    public val storedResponseCount: Int get() = responses.size

    /** Returns an ID that is unique in this process. */
    public fun newId(): RequestId = RequestId(nextId.incrementAndGet())

    public fun add(request: RegisteredRequest) {
        requests[request.spec.id] = request
    }

    /** Returns the open request with the given [id], or null if it is complete. */
    public fun find(id: RequestId): RegisteredRequest? = requests[id]

    /** Removes the request with the given [id], which was not submitted to the decision loop. */
    public fun remove(id: RequestId) {
        requests.remove(id)
    }

    /** Stores the [response] of an [attempt] until its [request] is complete; does nothing if it already is. */
    public fun storeResponse(request: RequestId, attempt: AttemptId, response: HandedOverResponse) {
        responses[request] = AttemptResponse(attempt, response)
        if (find(request) == null) responses.remove(request)
    }

    /** Removes the request of [effect] and passes the final response to its receiver. */
    public fun complete(effect: EntryEffect.Respond) {
        val request = requests.remove(effect.request)
        val stored = responses.remove(effect.request)
        val serverResponse = stored?.takeIf { it.attempt == effect.attempt }?.response
        request?.receiver?.receive(effect, serverResponse)
    }

    /** Represents the response of one attempt, replaced by that of the next attempt for the same request. */
    private class AttemptResponse(val attempt: AttemptId, val response: HandedOverResponse)
}
