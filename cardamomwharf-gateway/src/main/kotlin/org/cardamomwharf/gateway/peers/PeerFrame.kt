/*
 * Marks bytes between instances as ours, with a checksum. Anybody may send to the ports, and the CBOR library reserves
 * memory for a list as long as the bytes claim, so nothing but whole messages of ours may reach it.
 */
package org.cardamomwharf.gateway.peers

import java.nio.ByteBuffer
import java.util.zip.CRC32

/** Begins each frame: the letters CWP and the version of the messages. */
private const val FRAME_MAGIC = 0x43575002
private const val HEADER_BYTES = Int.SIZE_BYTES + Int.SIZE_BYTES

/** Returns [payload] in a frame. */
internal fun frame(payload: ByteArray): ByteArray =
    ByteBuffer.allocate(HEADER_BYTES + payload.size).putInt(FRAME_MAGIC).putInt(computeChecksum(payload)).put(payload).array()

/** Returns the payload of [framed], or null when it isn't a whole frame of ours. */
internal fun unframe(framed: ByteArray): ByteArray? {
    if (framed.size < HEADER_BYTES) return null
    val buffer = ByteBuffer.wrap(framed)
    val mark = buffer.getInt()
    val checksum = buffer.getInt()
    val payload = framed.copyOfRange(HEADER_BYTES, framed.size)
    return if (mark == FRAME_MAGIC && checksum == computeChecksum(payload)) payload else null
}

private fun computeChecksum(bytes: ByteArray): Int = CRC32().apply { update(bytes) }.value.toInt()
