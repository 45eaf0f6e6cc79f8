/*
 * End point of a caller's connection that detects a disconnect while a response is pending. Jetty reads from a
 * connection only when it expects a request, so it doesn't detect a disconnect before that. Bytes that arrive meanwhile
 * belong to the next request and are buffered for Jetty. Jetty reads and parses on the selector's thread for as long as
 * input is available, so one buffer is passed on for each event, and a caller that sends without end can't keep the
 * thread from the others.
 */
package org.cardamomwharf.forward.listener

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Invocable
import org.eclipse.jetty.util.thread.Scheduler
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

internal class CallerEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    private val lock = Any()
    private var onDisconnect: (() -> Unit)? = null
    private var buffered: ByteBuffer? = null
    private var isInputEnded = false

    @Volatile
    private var isBufferRead = false

    /** True while a response is pending. */
    val isWatchingDisconnect: Boolean get() = synchronized(lock) { onDisconnect != null }

    /** Calls [action] once if the caller closes the connection before [unwatchDisconnect]. */
    fun watchDisconnect(action: () -> Unit) {
        synchronized(lock) { onDisconnect = action }
        awaitInput()
    }

    /** Stops watching; must be called before the response is completed. */
    fun unwatchDisconnect() {
        synchronized(lock) { onDisconnect = null }
        fillInterest.onFail(stoppedWatching)
    }

    override fun onSelected(): Runnable? {
        isBufferRead = false
        return super.onSelected()
    }

    override fun fill(buffer: ByteBuffer): Int = synchronized(lock) {
        val early = buffered
        when {
            early != null -> readBuffered(early, buffer)
            isInputEnded -> -1
            isBufferRead -> 0
            else -> super.fill(buffer).also { isBufferRead = it > 0 }
        }
    }

    private fun readBuffered(early: ByteBuffer, buffer: ByteBuffer): Int {
        val count = BufferUtil.append(buffer, early)
        if (!early.hasRemaining()) buffered = null
        return count
    }

    private fun awaitInput() {
        val callback = object : Callback {
            override fun getInvocationType(): Invocable.InvocationType = Invocable.InvocationType.NON_BLOCKING

            override fun succeeded() = readEarly()

            override fun failed(cause: Throwable) {
                if (cause !== stoppedWatching) notifyDisconnect()
            }
        }
        tryFillInterested(callback)
    }

    private fun readEarly() {
        val action = synchronized(lock) {
            if (onDisconnect == null) return
            val buffer = BufferUtil.allocate(BUFFER_BYTES)
            val count = try {
                super.fill(buffer)
            } catch (@Suppress("SwallowedException") e: IOException) {
                -1
            }
            when {
                count > 0 -> buffered = buffer
                count < 0 -> isInputEnded = true
                else -> awaitInput()
            }
            if (count < 0) onDisconnect.also { onDisconnect = null } else null
        }
        action?.invoke()
    }

    private fun notifyDisconnect() {
        synchronized(lock) { onDisconnect.also { onDisconnect = null } }?.invoke()
    }

    /** Records no suppressed exceptions, which would accumulate in the shared instance. */
    private class StoppedWatching : Throwable("the response is ready", null, false, false)

    private companion object {
        const val BUFFER_BYTES = 4_096
        val stoppedWatching = StoppedWatching()
    }
}
