/*
 * End point of a caller's connection that detects a disconnect while a response is pending. Jetty reads from a
 * connection only when it expects a request, so it doesn't detect a disconnect before that. Bytes that arrive meanwhile
 * belong to the next requests and are buffered for Jetty; some of these requests are handled before their turn. Jetty
 * reads and parses on the selector's thread for as long as input is available, so one buffer is passed on for each
 * event, and a caller that sends without end can't keep the thread from the others.
 */
package org.cardamomwharf.forward.listener

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.internal.HttpConnection
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Invocable
import org.eclipse.jetty.util.thread.Scheduler
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.TimeoutException

/** Time without input after which a connection counts as idle; a request may be in transit until then. */
private const val IDLE_MS = 250L

internal class CallerEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler), DisconnectSource {
    private val lock = Any()
    private var onDisconnect: (() -> Unit)? = null
    private var early: EarlyInput? = null
    private var isInputEnded = false

    /** Buffer into which Jetty read last; it belongs to this connection only while Jetty says it isn't empty. */
    private var jettyInput: ByteBuffer? = null

    @Volatile
    private var isBufferRead = false

    @Volatile
    override var isClosedAsIdle: Boolean = false
        private set

    private val whenReadable = EarlyReader()

    /** The requests that are handled before their turn. */
    val ahead = RequestsAhead()

    /** True while Jetty waits for the first byte of a request and none has arrived for a while. */
    private val isIdle: Boolean
        get() {
            val isAwaitingInput = isFillInterested && onDisconnect == null && early == null && !ahead.isNotEmpty
            return isAwaitingInput && idleFor >= IDLE_MS && (connection as? HttpConnection)?.parser?.isStart != false
        }

    override fun watchDisconnect(action: () -> Unit) {
        val isAwaiting = synchronized(lock) {
            onDisconnect = action
            early?.isFull != true
        }
        if (isAwaiting) tryFillInterested(whenReadable)
    }

    override fun unwatchDisconnect() {
        synchronized(lock) {
            onDisconnect = null
            ahead.pause()
        }
        fillInterest.onFail(stoppedWatching)
    }

    /** Starts the requests behind [exchange] if it is pending; call on the thread that dispatched it. */
    fun startAhead(exchange: PendingExchange) {
        val rest = if ((connection as? HttpConnection)?.isRequestBufferEmpty != false) null else jettyInput
        val found = synchronized(lock) {
            if (onDisconnect == null) emptyList() else ahead.resume(exchange, rest, early?.bytes)
        }
        found.forEach { it.start() }
    }

    /** Reports input without waiting for the selector if it is already buffered or has ended. */
    override fun needsFillInterest() {
        val isReady = synchronized(lock) { onDisconnect == null && (early != null || isInputEnded) }
        val executor = (connection as? HttpConnection)?.connector?.executor
        if (isReady && executor != null) executor.execute { fillInterest.fillable() } else super.needsFillInterest()
    }

    /**
     * Closes the connection if it carries no request and no part of one, and returns whether it did. The decision and
     * the end of its input are one step: a request that arrives before it keeps the connection open, and one that
     * arrives after it is never read, so its caller may send it again.
     */
    fun closeIfIdle(): Boolean {
        val isClosing = synchronized(lock) { isIdle.also { if (it) isClosedAsIdle = true } }
        if (isClosing) close()
        return isClosing
    }

    override fun doShutdownOutput() {
        ahead.end()
        super.doShutdownOutput()
    }

    override fun onClose(cause: Throwable?) {
        super.onClose(cause)
        ahead.end()
    }

    override fun onSelected(): Runnable? {
        isBufferRead = false
        return super.onSelected()
    }

    override fun fill(buffer: ByteBuffer): Int = synchronized(lock) {
        jettyInput = buffer
        val bytes = early
        when {
            bytes != null -> bytes.moveTo(buffer).also { if (bytes.size == 0) early = null }
            isInputEnded || isClosedAsIdle -> -1
            isBufferRead -> 0
            else -> super.fill(buffer).also { isBufferRead = it > 0 }
        }
    }

    private fun notifyDisconnect() {
        synchronized(lock) { onDisconnect.also { onDisconnect = null } }?.invoke()
        ahead.end()
    }

    /** Reads the bytes that arrive while a response is pending. */
    private inner class EarlyReader : Callback {
        override fun getInvocationType(): Invocable.InvocationType = Invocable.InvocationType.NON_BLOCKING

        override fun succeeded() {
            var found = emptyList<AheadExchange>()
            val isGone = synchronized(lock) {
                if (onDisconnect == null) return
                val bytes = early ?: EarlyInput()
                val count = try {
                    bytes.append { super@CallerEndPoint.fill(it) }
                } catch (@Suppress("SwallowedException") e: IOException) {
                    -1
                }
                if (count > 0) {
                    early = bytes
                    found = ahead.recordInput(count, bytes.bytes)
                }
                if (count >= 0 && !bytes.isFull) tryFillInterested(this)
                isInputEnded = count < 0
                isInputEnded
            }
            if (isGone) notifyDisconnect() else found.forEach { it.start() }
        }

        override fun failed(cause: Throwable) = when (cause) {
            stoppedWatching -> Unit
            // Jetty decided that the connection was idle before the request arrived.
            is TimeoutException -> synchronized(lock) { if (onDisconnect != null) tryFillInterested(this) }
            else -> notifyDisconnect()
        }
    }

    /** Records no suppressed exceptions, which would accumulate in the shared instance. */
    private class StoppedWatching : Throwable("the response is ready", null, false, false)

    private companion object {
        val stoppedWatching = StoppedWatching()
    }
}
