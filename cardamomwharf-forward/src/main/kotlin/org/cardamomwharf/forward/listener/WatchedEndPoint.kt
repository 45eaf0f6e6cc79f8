/*
 * A caller's connection that can be watched while an answer is pending. Jetty reads from a connection only when it
 * wants a request, so it doesn't notice a caller that leaves meanwhile. Bytes that arrive while watching belong to the
 * next request and are kept for Jetty to read.
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

internal class WatchedEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    private val lock = Any()
    private var onGone: (() -> Unit)? = null
    private var kept: ByteBuffer? = null
    private var isEnded = false

    /** True while an answer is pending. */
    val isWatching: Boolean get() = synchronized(lock) { onGone != null }

    /** Calls [action] once when the caller closes the connection before [unwatch]. */
    fun watch(action: () -> Unit) {
        synchronized(lock) { onGone = action }
        awaitInput()
    }

    /** Ends watching; has to come before the answer is completed. */
    fun unwatch() {
        synchronized(lock) { onGone = null }
        fillInterest.onFail(unwatched)
    }

    override fun fill(buffer: ByteBuffer): Int = synchronized(lock) {
        val early = kept
        when {
            early != null -> take(early, buffer)
            isEnded -> -1
            else -> super.fill(buffer)
        }
    }

    private fun take(early: ByteBuffer, buffer: ByteBuffer): Int {
        val count = BufferUtil.append(buffer, early)
        if (!early.hasRemaining()) kept = null
        return count
    }

    private fun awaitInput() {
        val callback = object : Callback {
            override fun getInvocationType(): Invocable.InvocationType = Invocable.InvocationType.NON_BLOCKING

            override fun succeeded() = readEarly()

            override fun failed(cause: Throwable) {
                if (cause !== unwatched) report()
            }
        }
        tryFillInterested(callback)
    }

    private fun readEarly() {
        val action = synchronized(lock) {
            if (onGone == null) return
            val buffer = BufferUtil.allocate(EARLY_BYTES)
            val count = try {
                super.fill(buffer)
            } catch (@Suppress("SwallowedException") e: IOException) {
                -1
            }
            when {
                count > 0 -> kept = buffer
                count < 0 -> isEnded = true
                else -> awaitInput()
            }
            if (count < 0) onGone.also { onGone = null } else null
        }
        action?.invoke()
    }

    private fun report() {
        synchronized(lock) { onGone.also { onGone = null } }?.invoke()
    }

    /** Carries no suppressed exceptions, which would pile up in a single instance. */
    private class Unwatched : Throwable("the answer is ready", null, false, false)

    private companion object {
        const val EARLY_BYTES = 4_096
        val unwatched = Unwatched()
    }
}
