/*
 * Reads bodies whole and bounded: a body that is too large or ends early never reaches a handler or a caller.
 */
package org.cardamomwharf.http

import java.io.IOException
import java.io.InputStream

/** Represents what reading a body gave. */
public sealed interface BodyReadResult {
    /** The whole body. */
    public class Complete(public val bytes: ByteArray) : BodyReadResult

    /** The body is larger than allowed. */
    public data object TooLarge : BodyReadResult

    /** The body ended before its announced size. */
    public data object Truncated : BodyReadResult
}

/** Returns the whole body of this stream, or why it can't be had. */
public fun InputStream.readBody(maxBytes: Int, announcedBytes: Long): BodyReadResult {
    if (announcedBytes > maxBytes) return BodyReadResult.TooLarge
    val bytes = readOrNull(maxBytes + 1)
    return when {
        bytes == null || announcedBytes >= 0 && bytes.size < announcedBytes -> BodyReadResult.Truncated
        bytes.size > maxBytes -> BodyReadResult.TooLarge
        else -> BodyReadResult.Complete(bytes)
    }
}

/** Returns null when the stream fails; the cause tells nothing that the caller of [readBody] could act on. */
private fun InputStream.readOrNull(bytes: Int): ByteArray? =
    try {
        readNBytes(bytes)
    } catch (@Suppress("SwallowedException") e: IOException) {
        null
    }
