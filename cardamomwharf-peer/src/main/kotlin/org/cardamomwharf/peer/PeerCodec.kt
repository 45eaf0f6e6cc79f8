/*
 * Encodes and decodes messages as frames. Unknown fields are ignored, so that instances of different versions
 * understand each other during an upgrade.
 */
package org.cardamomwharf.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** The maximum size of a frame; client blocks are the largest contents. */
public const val MAX_FRAME_BYTES: Int = 50_331_648

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    ignoreUnknownKeys = true
    preferCborLabelsOverNames = true
}

/** Encodes [message], without the size that precedes it in a frame. */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeMessage(message: PeerMessage): ByteArray =
    cbor.encodeToByteArray(PeerMessage.serializer(), message)

/** Decodes the message in [bytes]. */
@OptIn(ExperimentalSerializationApi::class)
public fun decodeMessage(bytes: ByteArray): PeerMessage =
    cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)

internal suspend fun ByteWriteChannel.writeFrame(frame: ByteArray) {
    writeInt(frame.size)
    writeFully(frame)
    flush()
}

internal suspend fun ByteReadChannel.readMessage(): PeerMessage {
    val size = readInt()
    if (size !in 1..MAX_FRAME_BYTES) throw IOException("frame size $size is not within 1..$MAX_FRAME_BYTES bytes")
    return decodeMessage(readByteArray(size))
}
