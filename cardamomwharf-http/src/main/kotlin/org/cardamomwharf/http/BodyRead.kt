/*
 * Reads bodies whole and bounded: a body that is too large or ends early never reaches a handler or a caller.
 */
package org.cardamomwharf.http

import java.io.IOException
import java.io.InputStream

/** Represents what reading a body gave. */
public sealed interface BodyRead {
    /** The whole body. */
    public class Whole(public val bytes: ByteArray) : BodyRead

    /** The body is larger than allowed. */
    public data object TooLarge : BodyRead

    /** The body ended before its announced size. */
    public data object Truncated : BodyRead
}

/** Returns the whole body of this stream, or why it can't be had. */
public fun InputStream.readBody(largestBytes: Int, announcedBytes: Long): BodyRead {
    if (announcedBytes > largestBytes) return BodyRead.TooLarge
    val bytes = readOrNull(largestBytes + 1)
    return when {
        bytes == null || announcedBytes >= 0 && bytes.size < announcedBytes -> BodyRead.Truncated
        bytes.size > largestBytes -> BodyRead.TooLarge
        else -> BodyRead.Whole(bytes)
    }
}

/** Returns null when the stream fails; the cause tells nothing that the caller of [readBody] could act on. */
private fun InputStream.readOrNull(bytes: Int): ByteArray? =
    try {
        readNBytes(bytes)
    } catch (@Suppress("SwallowedException") e: IOException) {
        null
    }
