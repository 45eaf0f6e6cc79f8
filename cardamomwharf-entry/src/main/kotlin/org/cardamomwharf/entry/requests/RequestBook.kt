/*
 * The requests and answers that belong to the numbers in the decisions. Each open request has one receiver of its final
 * answer; answers of attempts are kept until the decisions say whether they are relayed.
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

/** Represents the receiver of a final answer; it is called once and must not block. */
public fun interface AnswerReceiver {
    /** Takes the final answer; [ran] is present when the request ran now. */
    public fun receive(answer: EntryEffect.Respond, ran: HandedOverResponse?)
}

/** Represents an open request with all that is sent to a backend server. */
public class BookedRequest(
    public val spec: RequestSpec,
    public val handed: HandedOverRequest,
    public val receiver: AnswerReceiver,
)

/** Represents the open requests of this process. */
public class RequestBook {
    private val nextId = AtomicLong()
    private val requests = ConcurrentHashMap<RequestId, BookedRequest>()
    private val answers = ConcurrentHashMap<RequestId, KeptAnswer>()

    /** The number of open requests. */
    public val size: Int get() = requests.size

    /** The number of answers that are kept for open requests. */
    public val keptAnswers: Int get() = answers.size

    /** Returns a number that no other request of this process has. */
    public fun newId(): RequestId = RequestId(nextId.incrementAndGet())

    /** Adds [request]. */
    public fun add(request: BookedRequest) {
        requests[request.spec.id] = request
    }

    /** Returns the open request [id], or null when it has its answer. */
    public fun find(id: RequestId): BookedRequest? = requests[id]

    /** Removes the request [id], which was never decided about. */
    public fun remove(id: RequestId) {
        requests.remove(id)
    }

    /** Keeps the answer of an [attempt] until its [request] has its final answer; a closed request keeps nothing. */
    public fun keep(request: RequestId, attempt: AttemptId, answer: HandedOverResponse) {
        answers[request] = KeptAnswer(attempt, answer)
        if (find(request) == null) answers.remove(request)
    }

    /** Gives the request of [answer] its final answer. */
    public fun finish(answer: EntryEffect.Respond) {
        val request = requests.remove(answer.request)
        val kept = answers.remove(answer.request)
        val ran = kept?.takeIf { it.attempt == answer.attempt }?.answer
        request?.receiver?.receive(answer, ran)
    }

    /** An answer of one attempt; the next attempt of the same request replaces it. */
    private class KeptAnswer(val attempt: AttemptId, val answer: HandedOverResponse)
}
