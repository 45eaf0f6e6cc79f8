/*
 * Frames messages between instances with a magic number and a checksum. Any process may send to the ports, and the CBOR
 * library allocates lists of the size that the input claims, so only complete and valid messages may reach it.
 */
package org.cardamomwharf.gateway.peers

import java.nio.ByteBuffer
import java.util.zip.CRC32

/** First bytes of each frame: the letters CWP and the message version. */
private const val FRAME_MAGIC = 0x43575002
private const val HEADER_BYTES = Int.SIZE_BYTES + Int.SIZE_BYTES

/** Returns a frame with [payload]. */
internal fun frame(payload: ByteArray): ByteArray =
    ByteBuffer.allocate(HEADER_BYTES + payload.size)
        .putInt(FRAME_MAGIC).putInt(computeChecksum(payload)).put(payload).array()

/** Returns the payload of [framed], or null when it isn't a complete and valid frame. */
internal fun unframe(framed: ByteArray): ByteArray? {
    if (framed.size < HEADER_BYTES) return null
    val buffer = ByteBuffer.wrap(framed)
    val magic = buffer.getInt()
    val checksum = buffer.getInt()
    val payload = framed.copyOfRange(HEADER_BYTES, framed.size)
    return if (magic == FRAME_MAGIC && checksum == computeChecksum(payload)) payload else null
}

private fun computeChecksum(bytes: ByteArray): Int = CRC32().apply { update(bytes) }.value.toInt()
