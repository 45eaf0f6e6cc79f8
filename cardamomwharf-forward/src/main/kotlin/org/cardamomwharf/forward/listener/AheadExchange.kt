/*
 * A request that is handled before its turn, and its response, which is held until Jetty dispatches the same request in
 * the order of the connection.
 */
package org.cardamomwharf.forward.listener

import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.io.EofException
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.nio.ByteBuffer

/** Represents a request whose response is pending, as Jetty dispatched it. */
internal class PendingExchange(val handler: LookAheadHandler, val response: Response)

/** Represents the exchange of [request]; it is also the callback of its handler. */
internal class AheadExchange(private val pending: PendingExchange, val request: AheadRequest) : Callback {
    private val response = HeldResponse()
    private var turn: Turn? = null
    private var held: HeldStep? = null

    /** Passes the request to its handler. */
    fun start() = pending.handler.handle(request, response, this)

    /** Sends the response as [response], now or when it is ready. */
    fun deliver(endPoint: CallerEndPoint, response: Response, callback: Callback) {
        if (synchronized(this) { held == null }) {
            response.request.addIdleTimeoutListener { false }
            endPoint.watchDisconnect(request::cancel)
        }
        val next = Turn(endPoint, response, callback)
        val ready = synchronized(this) {
            turn = next
            held.also { held = null }
        }
        if (ready != null) next.take(ready)
    }

    /** Ends the request and drops its response, which isn't delivered any more. */
    fun cancel() {
        request.cancel()
        val dropped = synchronized(this) { held.also { held = null } }
        if (dropped is HeldStep.Write) dropped.done.failed(EofException("the connection ended before the response"))
    }

    override fun succeeded() = takeOrHold(HeldStep.Succeed)

    override fun failed(cause: Throwable) = takeOrHold(HeldStep.Fail(cause))

    private fun takeOrHold(step: HeldStep) {
        synchronized(this) { turn.also { if (it == null) held = step } }?.take(step)
    }

    /** Represents what the handler did to the response. */
    private sealed interface HeldStep {
        class Write(val isLast: Boolean, val bytes: ByteBuffer?, val done: Callback) : HeldStep

        class Fail(val cause: Throwable) : HeldStep

        data object Succeed : HeldStep
    }

    /** Represents the response that Jetty dispatched for this request. */
    private inner class Turn(
        private val endPoint: CallerEndPoint,
        private val target: Response,
        private val callback: Callback,
    ) {
        fun take(step: HeldStep) {
            endPoint.unwatchDisconnect()
            when (step) {
                is HeldStep.Fail -> callback.failed(step.cause)
                HeldStep.Succeed -> callback.succeeded()
                is HeldStep.Write -> {
                    if (!target.isCommitted) writeHead()
                    target.write(step.isLast, step.bytes, step.done)
                }
            }
        }

        private fun writeHead() {
            target.status = response.status
            response.headers.forEach { target.headers.add(it) }
            if (endPoint.ahead.isNotEmpty) target.headers.remove(HttpHeader.CONNECTION)
            target.reserveHead()
        }
    }

    /** Collects the head of the response, and its content until the response may be sent. */
    private inner class HeldResponse : Response.Wrapper(request, pending.response) {
        private val fields = HttpFields.build()
        private var code = 0

        override fun getStatus(): Int = code

        override fun setStatus(code: Int) {
            this.code = code
        }

        override fun getHeaders(): HttpFields.Mutable = fields

        override fun isCommitted(): Boolean = synchronized(this@AheadExchange) { held != null || turn != null }

        override fun write(last: Boolean, byteBuffer: ByteBuffer?, callback: Callback) =
            takeOrHold(HeldStep.Write(last, byteBuffer, callback))
    }
}
