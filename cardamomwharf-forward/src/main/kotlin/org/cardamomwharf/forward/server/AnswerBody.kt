/*
 * The body of an answer that is being read, within a bound of its own and one for all that are read at the same time.
 */
package org.cardamomwharf.forward.server

import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicLong

internal class AnswerBody(private val settings: ConnectionPoolSettings, private val heldBytes: AtomicLong) {
    private var bytes = ByteArrayOutputStream()

    val size: Int get() = bytes.size()

    /** Takes what remains of [buffer], or returns why there is no room for it. */
    fun take(buffer: ByteBuffer): CallFailure? {
        val count = buffer.remaining()
        if (size + count > settings.maxResponseBytes) return CallFailure.TOO_LARGE
        val isOverBound = heldBytes.addAndGet(count.toLong()) > settings.maxBufferedBytes
        if (isOverBound) heldBytes.addAndGet(-count.toLong()) else write(buffer, count)
        return if (isOverBound) CallFailure.NO_ROOM else null
    }

    fun toByteArray(): ByteArray = bytes.toByteArray()

    fun clear() {
        heldBytes.addAndGet(-size.toLong())
        bytes = ByteArrayOutputStream()
    }

    private fun write(buffer: ByteBuffer, count: Int) {
        val taken = ByteArray(count)
        buffer.get(taken)
        bytes.writeBytes(taken)
    }
}
