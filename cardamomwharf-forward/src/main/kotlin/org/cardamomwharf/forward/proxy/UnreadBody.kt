/*
 * Ends an exchange whose request body was not read. A connection that is closed with unread input is reset, and the
 * caller may lose the response; the rest of the body is therefore read and dropped for a limited time first.
 */
package org.cardamomwharf.forward.proxy

import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Scheduler
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Maximum time for which the rest of a body is dropped; a caller on a distant link sees the response within it. */
private const val DROP_TIMEOUT_MS = 1_000L

/** Completes [callback] once the body of [request] has ended, or after the timeout. */
internal class UnreadBody(
    private val request: Request,
    private val callback: Callback,
    private val scheduler: Scheduler,
) : Callback {
    private val isEnded = AtomicBoolean()
    private var timer: Scheduler.Task? = null

    /** Drops the body; the response was written. */
    override fun succeeded() {
        // A caller that waits for 100 Continue sends no body, and must not be told to send one after the response.
        if (request.headers.contains(HttpHeader.EXPECT)) return callback.succeeded()
        timer = scheduler.schedule(::end, DROP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        drop()
    }

    override fun failed(cause: Throwable) = callback.failed(cause)

    private fun drop() {
        while (!isEnded.get()) {
            val chunk = request.read() ?: return request.demand(::drop)
            val isLast = chunk.isLast || Content.Chunk.isFailure(chunk)
            chunk.release()
            if (isLast) end()
        }
    }

    private fun end() {
        if (!isEnded.compareAndSet(false, true)) return
        timer?.cancel()
        callback.succeeded()
    }
}
