/*
 * Finds the zone of a client address in the client blocks of a document. Blocks must not overlap. They are stored as
 * sorted arrays, so that 440,000 IPv4 blocks need about 9 MB and a lookup is one binary search.
 */
package org.cardamomwharf.core.document

import org.cardamomwharf.core.ZoneName

/** Represents an inclusive range of IPv4 addresses. */
public data class AddressRange(public val first: Long, public val last: Long)

/** Represents the client blocks of one document, sorted by address. */
public class ClientBlockTable private constructor(
    private val firstAddresses: LongArray,
    private val lastAddresses: LongArray,
    private val zoneIndexes: ShortArray,
    private val zones: List<ZoneName>,
) {
    /** The number of blocks. */
    public val size: Int get() = firstAddresses.size

    /** Returns the zone of [address], or null when no block contains it. */
    public fun findZone(address: String): ZoneName? {
        val number = parseIpv4(address) ?: return null
        val position = firstAddresses.binarySearch(number)
        val index = if (position >= 0) position else -position - 2
        val isInside = index >= 0 && lastAddresses[index] >= number
        return if (isInside) zones[zoneIndexes[index].toInt()] else null
    }

    public companion object {
        /** Returns the table of [blocks]. Malformed blocks are skipped; the check of the document reports them. */
        public fun build(blocks: Sequence<ClientBlock>): ClientBlockTable {
            val zones = LinkedHashMap<ZoneName, Int>()
            val packed = PackedBlocks()
            for (block in blocks) {
                val zone = zones.getOrPut(block.zone) { zones.size }
                parseCidr(block.cidr)?.let { packed.add(it, zone) }
            }
            packed.sort()
            return ClientBlockTable(
                firstAddresses = LongArray(packed.size) { packed.getFirstAddress(it) },
                lastAddresses = LongArray(packed.size) { packed.getLastAddress(it) },
                zoneIndexes = ShortArray(packed.size) { packed.getZoneIndex(it).toShort() },
                zones = zones.keys.toList(),
            )
        }
    }
}

private const val OCTETS = 4
private const val OCTET_BITS = 8
private const val OCTET_MAX = 255
private const val ADDRESS_BITS = 32

/** Returns the IPv4 address in [text] as a number, or null when [text] is malformed. */
public fun parseIpv4(text: String): Long? {
    val octets = text.split('.').mapNotNull { it.toIntOrNull() }
    val isAddress = octets.size == OCTETS && octets.all { it in 0..OCTET_MAX } && text.count { it == '.' } == OCTETS - 1
    return if (isAddress) octets.fold(0L) { number, octet -> (number shl OCTET_BITS) or octet.toLong() } else null
}

/** Returns the range of the CIDR block in [text], or null when [text] is malformed or not aligned. */
public fun parseCidr(text: String): AddressRange? {
    val base = parseIpv4(text.substringBefore('/'))
    val prefixBits = text.substringAfter('/', "").toIntOrNull()?.takeIf { it in 0..ADDRESS_BITS }
    if (base == null || prefixBits == null) return null
    val size = 1L shl (ADDRESS_BITS - prefixBits)
    return if (base % size == 0L) AddressRange(base, base + size - 1) else null
}
