/*
 * Buffers a body in an array that never exceeds the reservation of the body.
 */
package org.cardamomwharf.forward.bodies

import java.nio.ByteBuffer

/** Initial capacity without a declared length; one network packet. */
private const val MIN_CAPACITY_BYTES = 1_460L
private val empty = ByteArray(0)

/** Represents why bytes were not appended. */
internal enum class BodyBufferError {
    /** The body exceeds its maximum size. */
    TOO_LARGE,

    /** The budget has no room. */
    NO_ROOM,
}

/** Buffers a body of at most [maxBytes]; it grows within [bound]. */
internal class BodyBuffer(private val maxBytes: Int, private val bound: BodyBound) {
    private var bytes = empty

    /** Reservation of the body; without one, nothing can be appended. */
    var reservation: BodyReservation? = null

    /** Length that the sender declares, or a negative number. */
    var declaredBytes: Long = -1

    /** Number of buffered bytes. */
    var size: Int = 0
        private set

    /** Appends the remaining bytes of [buffer], or returns an error. */
    fun append(buffer: ByteBuffer): BodyBufferError? {
        val count = buffer.remaining()
        val needed = size.toLong() + count
        return when {
            needed > maxBytes -> BodyBufferError.TOO_LARGE
            needed > bytes.size && !enlarge(needed) -> BodyBufferError.NO_ROOM
            else -> {
                buffer.get(bytes, size, count)
                size += count
                null
            }
        }
    }

    /** Returns the body, without a copy if it fills the array. */
    fun toByteArray(): ByteArray = if (size == bytes.size) bytes else bytes.copyOf(size)

    /** Drops the body; the reservation stays. */
    fun clear() {
        bytes = empty
        size = 0
        declaredBytes = -1
    }

    private fun enlarge(needed: Long): Boolean {
        val doubled = maxOf(needed, 2L * bytes.size, MIN_CAPACITY_BYTES)
        val preferred = if (declaredBytes in needed..maxBytes) declaredBytes else minOf(doubled, maxBytes.toLong())
        val capacity = listOf(preferred, needed).firstOrNull { reservation?.grow(it, bound) == true }
        capacity?.let { bytes = bytes.copyOf(it.toInt()) }
        return capacity != null
    }
}
