/*
 * Reads bodies completely and up to a maximum size. A body that is too large or truncated is never passed on.
 */
package org.cardamomwharf.http

import java.io.IOException
import java.io.InputStream

/** Represents the result of reading a body. */
public sealed interface BodyReadResult {
    /** The body was read completely. */
    public class Complete(public val bytes: ByteArray) : BodyReadResult

    /** The body exceeds the maximum size. */
    public data object TooLarge : BodyReadResult

    /** The body ended before its declared size. */
    public data object Truncated : BodyReadResult
}

/** Returns the complete body of this stream, or why it can't be read; [declaredBytes] is negative when unknown. */
public fun InputStream.readBody(maxBytes: Int, declaredBytes: Long): BodyReadResult {
    if (declaredBytes > maxBytes) return BodyReadResult.TooLarge
    val bytes = readOrNull(maxBytes + 1)
    return when {
        bytes == null || declaredBytes >= 0 && bytes.size < declaredBytes -> BodyReadResult.Truncated
        bytes.size > maxBytes -> BodyReadResult.TooLarge
        else -> BodyReadResult.Complete(bytes)
    }
}

/** Returns up to [bytes] bytes, or null when the stream fails; [readBody] treats every failure in the same way. */
private fun InputStream.readOrNull(bytes: Int): ByteArray? =
    try {
        readNBytes(bytes)
    } catch (@Suppress("SwallowedException") e: IOException) {
        null
    }
