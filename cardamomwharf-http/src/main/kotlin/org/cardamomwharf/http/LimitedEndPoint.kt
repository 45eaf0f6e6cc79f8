/*
 * End point of a client connection that limits the bytes that are read after a request. Jetty limits the head and the
 * listener of a response limits its body, but interim responses, extensions of chunks and empty lines can go on without
 * end.
 */
package org.cardamomwharf.http

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.thread.Scheduler
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

internal class LimitedEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
    private val maxResponseBytes: Long,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    @Volatile
    private var remainingBytes = maxResponseBytes

    override fun flush(vararg buffers: ByteBuffer): Boolean {
        remainingBytes = maxResponseBytes
        return super.flush(*buffers)
    }

    /** Reads into [buffer] and throws an IOException once the response exceeds the limit. */
    override fun fill(buffer: ByteBuffer): Int {
        if (remainingBytes <= 0) throw IOException("response exceeds $maxResponseBytes bytes with its framing")
        return super.fill(buffer).also { remainingBytes -= it.coerceAtLeast(0) }
    }
}
