/*
 * Sends the final response of one request to its caller and records the trace of the request.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.bodies.RequestBodies
import org.cardamomwharf.forward.listener.aheadPosition
import org.cardamomwharf.forward.server.ServerResponse
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.eclipse.jetty.io.EofException
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback

internal class ResponseSender(
    private val context: ForwardingContext,
    private val response: Response,
    private val callback: Callback,
    private val spec: RequestSpec,
    private val desiredVersion: Long,
    private val bodies: RequestBodies? = null,
) {
    /** Fingerprint of the request, once its body is known. */
    var fingerprint: Long = 0

    /** Relays [serverResponse], unless its status would tell the caller that the request was not executed. */
    fun relay(serverResponse: ServerResponse, attempts: List<AttemptTrace>) {
        if (serverResponse.status in notExecutedStatuses) {
            return reply(LocalReply(StatusCode.BAD_GATEWAY, "unproved-refusal"), attempts)
        }
        trace(AttemptOutcome.ANSWERED.code, serverResponse.status, attempts)
        val size = serverResponse.body.size
        context.bodies.recordResponse(spec.route, size)
        bodies?.request?.release()
        bodies?.response?.shrink(size.toLong())
        val endPoint = response.request.connectionMetaData.connection.endPoint
        val write = CallerWrite(endPoint, callback) { bodies?.release() }
        writeServerResponse(serverResponse, context.isStopping, response, write)
        write.limitTime(context.scheduler, context.pool.bodyBudget.settings.writeTimeoutMs)
    }

    fun refuse(
        reason: RefusalReason,
        retryAfterMs: Long,
        attempts: List<AttemptTrace>,
        isBodyUnread: Boolean = false,
    ) {
        val isTeamLimit = reason == RefusalReason.TEAM_LIMIT
        val status = if (isTeamLimit) StatusCode.TOO_MANY_REQUESTS else StatusCode.UNAVAILABLE
        reply(LocalReply(status, reason.code, retryAfterMs), attempts, isBodyUnread)
    }

    /** Sends [reply]; if [isBodyUnread], the rest of the request's body is dropped and the connection is closed. */
    fun reply(
        reply: LocalReply,
        attempts: List<AttemptTrace>,
        isBodyUnread: Boolean = false,
        isClosing: Boolean = isBodyUnread || context.isStopping,
    ) {
        trace(reply.code, reply.status, attempts)
        bodies?.release()
        val done = if (isBodyUnread) UnreadBody(response.request, callback, context.scheduler) else callback
        writeLocalReply(reply, spec.id.ifEmpty { null }, isClosing, response, done)
    }

    /** Ends the exchange without a response because the connection was closed, as [outcome] tells. */
    fun abort(outcome: AttemptOutcome, attempts: List<AttemptTrace>) {
        trace(outcome.code, 0, attempts)
        bodies?.release()
        callback.failed(EofException(outcome.code))
    }

    private fun trace(outcome: String, status: Int, attempts: List<AttemptTrace>) {
        val nowMs = context.clock.nowMs()
        context.traceSink.record(
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
                attempts = attempts,
                fingerprint = fingerprint,
                aheadPosition = response.request.aheadPosition,
            ),
        )
    }
}
