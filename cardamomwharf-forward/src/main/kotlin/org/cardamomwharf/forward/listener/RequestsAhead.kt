/*
 * The requests of one connection that are handled before their turn, from their recognition until Jetty dispatches them
 * or the connection ends. Allocates nothing for a connection whose callers wait for their responses.
 */
package org.cardamomwharf.forward.listener

import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.BufferUtil
import java.nio.ByteBuffer

internal class RequestsAhead {
    private var pending: PendingExchange? = null
    private var lookAhead: LookAhead? = null
    private var isEnded = false

    /** True if requests behind the pending one are handled. */
    val isNotEmpty: Boolean @Synchronized get() = lookAhead?.hasRequests == true

    /** Returns the request that Jetty dispatches as [request] if it was started before its turn. */
    fun take(request: Request): AheadExchange? {
        val next = synchronized(this) {
            pending = null
            lookAhead?.next().also { if (it == null) lookAhead = null }
        }
        if (next == null || next.request.isSame(request)) return next
        next.cancel()
        removeAll().forEach { it.cancel() }
        return null
    }

    /**
     * Returns the requests to start behind [exchange], which is pending. Jetty holds [rest] of the bytes behind it, and
     * [early] follow.
     */
    @Synchronized
    fun resume(exchange: PendingExchange, rest: ByteBuffer?, early: ByteBuffer?): List<AheadExchange> {
        if (isEnded) return emptyList()
        pending = exchange
        return find(rest, early ?: BufferUtil.EMPTY_BUFFER)
    }

    /** Starts no more requests until [resume]; those that are started go on. */
    @Synchronized
    fun pause() {
        pending = null
    }

    /** Records that the last [count] bytes of [early] arrived, and returns the requests to start. */
    @Synchronized
    fun recordInput(count: Int, early: ByteBuffer): List<AheadExchange> {
        lookAhead?.recordInput(count)
        return find(null, early)
    }

    /** Cancels all requests, whose responses can't be sent any more, and starts no more. */
    fun end() {
        synchronized(this) { isEnded = true }
        removeAll().forEach { it.cancel() }
    }

    private fun find(rest: ByteBuffer?, early: ByteBuffer): List<AheadExchange> {
        val exchange = pending ?: return emptyList()
        val size = (rest?.remaining() ?: 0) + early.remaining()
        val current = lookAhead ?: if (size > 0) createLookAhead(exchange, size) else null
        lookAhead = current
        if (current == null && size > 0) pending = null // No request may overtake this one.
        return current?.scan(exchange, rest, early).orEmpty()
    }

    private fun removeAll(): List<AheadExchange> = synchronized(this) {
        pending = null
        lookAhead.also { lookAhead = null }?.removeAll().orEmpty()
    }
}
