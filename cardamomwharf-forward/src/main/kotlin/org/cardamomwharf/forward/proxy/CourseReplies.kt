/*
 * Gives the final answer of one request to its caller and hands its trace on.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.server.ServerResponse
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.eclipse.jetty.io.EofException
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback

internal class CourseReplies(
    private val tools: ForwardingContext,
    private val response: Response,
    private val callback: Callback,
    private val spec: RequestSpec,
    private val desiredVersion: Long,
) {
    /** Passes [answer] on, unless its status would promise the caller that the request did not run. */
    fun passOn(answer: ServerResponse, tries: List<AttemptTrace>) {
        if (answer.status in promisingStatuses) {
            return reply(OwnReply(StatusCode.BAD_GATEWAY, "unproved-refusal"), tries)
        }
        trace(AttemptOutcome.ANSWERED.code, answer.status, tries)
        writeAnswer(answer, tools.isStopping, response, callback)
    }

    fun refuse(reason: RefusalReason, retryAfterMs: Long, tries: List<AttemptTrace>) {
        reply(OwnReply(StatusCode.UNAVAILABLE, reason.code, retryAfterMs), tries)
    }

    fun reply(reply: OwnReply, tries: List<AttemptTrace>, isClosing: Boolean = tools.isStopping) {
        trace(reply.code, reply.status, tries)
        writeOwn(reply, spec.id.ifEmpty { null }, isClosing, response, callback)
    }

    /** Ends the exchange without an answer. */
    fun endUnanswered(tries: List<AttemptTrace>) {
        trace(AttemptOutcome.CALLER_GONE.code, 0, tries)
        callback.failed(EofException("the caller closed the connection"))
    }

    private fun trace(outcome: String, status: Int, tries: List<AttemptTrace>) {
        val nowMs = tools.clock.nowMs()
        tools.traces.record(
            RequestTrace(
                requestId = spec.id,
                route = spec.route.name,
                service = spec.service.value,
                key = spec.affinityKey,
                desiredVersion = desiredVersion,
                outcome = outcome,
                status = status,
                tookMs = nowMs - spec.arrivedAtMs,
                remainingMs = spec.deadlineAtMs - nowMs,
                attempts = tries,
            ),
        )
    }
}
