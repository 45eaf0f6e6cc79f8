/*
 * Collects client blocks while a table is built. Each block is packed into one number of first address, prefix length
 * and zone index, so that it takes eight bytes and sorting the numbers sorts the blocks by address.
 */
package org.cardamomwharf.core.document

private const val INITIAL_CAPACITY = 1_024
private const val ADDRESS_BITS = 32
private const val ADDRESS_SHIFT = 24
private const val PREFIX_SHIFT = 16
private const val PREFIX_MASK = 0xFFL
private const val ZONE_MASK = 0xFFFFL

internal class PackedBlocks {
    private var values = LongArray(INITIAL_CAPACITY)

    var size: Int = 0
        private set

    fun add(range: AddressRange, zoneIndex: Int) {
        if (size == values.size) values = values.copyOf(size * 2)
        val prefixBits = ADDRESS_BITS - (range.last - range.first + 1).countTrailingZeroBits()
        values[size++] = (range.first shl ADDRESS_SHIFT) or (prefixBits.toLong() shl PREFIX_SHIFT) or zoneIndex.toLong()
    }

    fun sort() {
        values.sort(0, size)
    }

    fun getFirstAddress(index: Int): Long = values[index] ushr ADDRESS_SHIFT

    fun getLastAddress(index: Int): Long {
        val prefixBits = (values[index] ushr PREFIX_SHIFT) and PREFIX_MASK
        return getFirstAddress(index) + (1L shl (ADDRESS_BITS - prefixBits.toInt())) - 1
    }

    fun getZoneIndex(index: Int): Int = (values[index] and ZONE_MASK).toInt()
}
