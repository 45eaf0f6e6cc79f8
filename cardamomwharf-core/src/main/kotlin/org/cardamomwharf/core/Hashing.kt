/*
 * Seeded hashes for spreading and rendezvous selection, and SHA-256 for content names. Both come from libraries.
 */
package org.cardamomwharf.core

import com.dynatrace.hash4j.hashing.Hashing
import java.io.InputStream
import java.io.OutputStream
import java.security.DigestInputStream
import java.security.MessageDigest
import java.util.HexFormat

private const val POSITION_BITS = 53
private val UNIT = 1.0 / (1L shl POSITION_BITS)

/** Returns a 64-bit hash of [text], the same on every machine. */
public fun hashOf(text: String): Long = Hashing.xxh3_64().hashCharsToLong(text)

/** Returns a number in `[0, 1)` that depends on [text] alone. */
public fun unitPositionOf(text: String): Double = (hashOf(text) ushr (Long.SIZE_BITS - POSITION_BITS)) * UNIT

/** Returns the SHA-256 of these bytes as lower-case hexadecimal digits. */
public fun ByteArray.sha256Hex(): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(this))

/** Returns the SHA-256 of all that this stream still gives, as lower-case hexadecimal digits. */
public fun InputStream.sha256Hex(): String {
    val digest = MessageDigest.getInstance("SHA-256")
    DigestInputStream(this, digest).transferTo(OutputStream.nullOutputStream())
    return HexFormat.of().formatHex(digest.digest())
}
