/*
 * Buffers the body of a response within a limit of its own and a limit for all bodies that are being read.
 */
package org.cardamomwharf.forward.server

import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicLong

internal class ResponseBodyBuffer(private val settings: ConnectionPoolSettings, private val bufferedBytes: AtomicLong) {
    private var bytes = ByteArrayOutputStream()

    val size: Int get() = bytes.size()

    /** Appends the remaining bytes of [buffer], or returns the failure if a limit is exceeded. */
    fun append(buffer: ByteBuffer): CallFailure? {
        val count = buffer.remaining()
        if (size + count > settings.maxResponseBytes) return CallFailure.TOO_LARGE
        val isOverLimit = bufferedBytes.addAndGet(count.toLong()) > settings.maxBufferedBytes
        if (isOverLimit) bufferedBytes.addAndGet(-count.toLong()) else write(buffer, count)
        return if (isOverLimit) CallFailure.NO_ROOM else null
    }

    fun toByteArray(): ByteArray = bytes.toByteArray()

    fun clear() {
        bufferedBytes.addAndGet(-size.toLong())
        bytes = ByteArrayOutputStream()
    }

    private fun write(buffer: ByteBuffer, count: Int) {
        val appended = ByteArray(count)
        buffer.get(appended)
        bytes.writeBytes(appended)
    }
}
