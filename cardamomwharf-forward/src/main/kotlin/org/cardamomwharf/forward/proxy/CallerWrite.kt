/*
 * The write of a response to its caller. The memory of the response is given back when the write ends, and a caller
 * that takes too long loses its connection.
 */
package org.cardamomwharf.forward.proxy

import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Invocable
import org.eclipse.jetty.util.thread.Scheduler
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Completes [callback] after [onEnd] when the write of [response] ends. */
internal class CallerWrite(
    private val response: Response,
    private val callback: Callback,
    private val onEnd: () -> Unit,
) : Callback {
    private val endPoint = response.request.connectionMetaData.connection.endPoint
    private var isEnded = false
    private var timer: Scheduler.Task? = null

    /** Closes the connection unless the write ends within [timeoutMs]; call when the write was started. */
    fun limitTime(scheduler: Scheduler, timeoutMs: Long) {
        synchronized(this) {
            if (!isEnded) timer = scheduler.schedule(::closeConnection, timeoutMs, TimeUnit.MILLISECONDS)
        }
    }

    override fun getInvocationType(): Invocable.InvocationType = callback.invocationType

    override fun succeeded() {
        end()
        callback.succeeded()
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

    private fun closeConnection() = endPoint.close(TimeoutException("the caller doesn't take the response"))
}
