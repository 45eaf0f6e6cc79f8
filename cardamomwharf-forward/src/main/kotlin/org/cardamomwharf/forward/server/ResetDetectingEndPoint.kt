/*
 * End point of a backend server connection that distinguishes a reset from an orderly close. Jetty's end point reports
 * both as end of stream, so a response without a length that was truncated by a reset would look complete.
 */
package org.cardamomwharf.forward.server

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

internal class ResetDetectingEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    /** Reads into [buffer] and throws an IOException if the connection was reset. */
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
