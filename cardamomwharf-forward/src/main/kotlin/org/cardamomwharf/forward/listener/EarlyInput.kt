/*
 * Bytes that a caller sends while a response is pending, kept until Jetty reads them.
 */
package org.cardamomwharf.forward.listener

import org.eclipse.jetty.util.BufferUtil
import java.nio.ByteBuffer

/** Size of the first buffer; holds several small requests. */
private const val FIRST_BUFFER_BYTES = 4_096

/** Maximum number of bytes per connection: one request head of the usual maximum size. */
internal const val MAX_EARLY_BYTES: Int = 16_384

/** Holds at most [MAX_EARLY_BYTES]; not synchronized. */
internal class EarlyInput {
    private var buffer: ByteBuffer = BufferUtil.EMPTY_BUFFER

    /** The bytes that Jetty hasn't read. */
    val bytes: ByteBuffer get() = buffer.duplicate()
    val size: Int get() = buffer.remaining()
    val isFull: Boolean get() = size >= MAX_EARLY_BYTES

    /** Appends what [fill] reads into the buffer that it receives, and returns its result. */
    fun append(fill: (ByteBuffer) -> Int): Int {
        reserve()
        return fill(buffer)
    }

    /** Moves bytes to [target] and returns their number. */
    fun moveTo(target: ByteBuffer): Int {
        val count = BufferUtil.append(target, buffer)
        if (!buffer.hasRemaining()) buffer = BufferUtil.EMPTY_BUFFER
        return count
    }

    private fun reserve() {
        val capacity = buffer.capacity()
        if (size < capacity) return
        val larger = BufferUtil.allocate((capacity * 2).coerceIn(FIRST_BUFFER_BYTES, MAX_EARLY_BYTES))
        BufferUtil.append(larger, buffer)
        buffer = larger
    }
}
