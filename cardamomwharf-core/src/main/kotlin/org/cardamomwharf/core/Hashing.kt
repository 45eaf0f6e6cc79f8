/*
 * 64-bit hashes for load spreading and rendezvous hashing, and SHA-256 hashes that name stored contents. Libraries
 * compute both.
 */
package org.cardamomwharf.core

import com.dynatrace.hash4j.hashing.Hashing
import java.io.InputStream
import java.io.OutputStream
import java.nio.ByteBuffer
import java.security.DigestInputStream
import java.security.MessageDigest
import java.util.HexFormat

private const val MANTISSA_BITS = 53

/** Constants of the SplitMix64 finalizer. */
private const val GOLDEN_RATIO = -7046029254386353131L
private const val FIRST_FACTOR = -4658895280553007687L
private const val SECOND_FACTOR = -7723592293110705685L
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val LAST_SHIFT = 31
private val UNIT = 1.0 / (1L shl MANTISSA_BITS)

/** Returns the 64-bit XXH3 hash of [text], which is the same on every machine. */
public fun hash64(text: String): Long = Hashing.xxh3_64().hashCharsToLong(text)

/** Returns the 64-bit XXH3 hash of the remaining bytes of [bytes], which is the same on every machine. */
public fun hash64(bytes: ByteBuffer): Long {
    val copy = ByteArray(bytes.remaining())
    bytes.duplicate().get(copy)
    return Hashing.xxh3_64().hashBytesToLong(copy)
}

/** Returns the hash of the pair of hashes [first] and [second], which is the same on every machine. */
public fun combineHashes(first: Long, second: Long): Long {
    var mixed = first xor second * GOLDEN_RATIO
    mixed = (mixed xor (mixed ushr FIRST_SHIFT)) * FIRST_FACTOR
    mixed = (mixed xor (mixed ushr SECOND_SHIFT)) * SECOND_FACTOR
    return mixed xor (mixed ushr LAST_SHIFT)
}

/** Returns the hash of [text] as a number in `[0, 1)`. */
public fun hashToUnitInterval(text: String): Double = (hash64(text) ushr (Long.SIZE_BITS - MANTISSA_BITS)) * UNIT

/** Returns the SHA-256 hash of these bytes in lower-case hexadecimal digits. */
public fun ByteArray.sha256Hex(): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(this))

/** Reads this stream to its end and returns the SHA-256 hash in lower-case hexadecimal digits. */
public fun InputStream.sha256Hex(): String {
    val digest = MessageDigest.getInstance("SHA-256")
    DigestInputStream(this, digest).transferTo(OutputStream.nullOutputStream())
    return HexFormat.of().formatHex(digest.digest())
}
