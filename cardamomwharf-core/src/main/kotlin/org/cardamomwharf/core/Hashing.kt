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

/** Constants of the finalizer of SplitMix64. */
private const val GOLDEN_RATIO = -7046029254386353131L
private const val FIRST_FACTOR = -4658895280553007687L
private const val SECOND_FACTOR = -7723592293110705685L
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val LAST_SHIFT = 31
private val UNIT = 1.0 / (1L shl POSITION_BITS)

/** Returns a 64-bit hash of [text], the same on every machine. */
public fun hash64(text: String): Long = Hashing.xxh3_64().hashCharsToLong(text)

/** Returns a hash of the pair of the hashes [first] and [second], the same on every machine. */
public fun combineHashes(first: Long, second: Long): Long {
    var mixed = first xor second * GOLDEN_RATIO
    mixed = (mixed xor (mixed ushr FIRST_SHIFT)) * FIRST_FACTOR
    mixed = (mixed xor (mixed ushr SECOND_SHIFT)) * SECOND_FACTOR
    return mixed xor (mixed ushr LAST_SHIFT)
}

/** Returns a number in `[0, 1)` that depends on [text] alone. */
public fun hashToUnitInterval(text: String): Double = (hash64(text) ushr (Long.SIZE_BITS - POSITION_BITS)) * UNIT

/** Returns the SHA-256 of these bytes as lower-case hexadecimal digits. */
public fun ByteArray.sha256Hex(): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(this))

/** Returns the SHA-256 of all that this stream still gives, as lower-case hexadecimal digits. */
public fun InputStream.sha256Hex(): String {
    val digest = MessageDigest.getInstance("SHA-256")
    DigestInputStream(this, digest).transferTo(OutputStream.nullOutputStream())
    return HexFormat.of().formatHex(digest.digest())
}
