/*
 * The write of a response to its caller. The memory of the response is given back when the write ends, and a caller
 * that takes too long loses its connection.
 */
package org.cardamomwharf.forward.proxy

import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Invocable
import org.eclipse.jetty.util.thread.Scheduler
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Completes [callback] after [onEnd] when the write to [endPoint] ends. */
internal class CallerWrite(
    private val endPoint: EndPoint,
    private val callback: Callback,
    private val onEnd: () -> Unit,
) : Callback {
    private var isEnded = false
    private var isTooLate = false
    private var timer: Scheduler.Task? = null

    /** Closes the connection unless the write ends within [timeoutMs]; call when the write was started. */
    fun limitTime(scheduler: Scheduler, timeoutMs: Long) {
        synchronized(this) {
            if (!isEnded) timer = scheduler.schedule(::closeConnection, timeoutMs, TimeUnit.MILLISECONDS)
        }
    }

    override fun getInvocationType(): Invocable.InvocationType = callback.invocationType

    /** Fails the exchange of a connection that is being closed, so that no further request is read from it. */
    override fun succeeded() {
        end()
        if (isTooLate) callback.failed(timeout()) else callback.succeeded()
    }

    override fun failed(cause: Throwable) {
        end()
        callback.failed(cause)
    }

    private fun end() {
        synchronized(this) {
            isEnded = true
            timer.also { timer = null }
        }?.cancel()
        onEnd()
    }

    private fun closeConnection() {
        synchronized(this) { isTooLate = !isEnded }
        if (isTooLate) endPoint.close(timeout())
    }

    private fun timeout() = TimeoutException("the caller doesn't take the response")
}
