/*
 * A connection to a backend server that tells a reset from an end. Jetty's own treats both as an end, and an answer
 * without a length that was cut off by a reset would then look whole.
 */
package org.cardamomwharf.forward.server

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

internal class StrictEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    /** Reads into [buffer]; throws IOException when the connection was reset. */
    override fun fill(buffer: ByteBuffer): Int {
        if (isInputShutdown) return -1
        val position = BufferUtil.flipToFill(buffer)
        val count = try {
            channel.read(buffer)
        } finally {
            BufferUtil.flipToFlush(buffer, position)
        }
        if (count > 0) notIdle() else if (count < 0) shutdownInput()
        return count
    }
}
