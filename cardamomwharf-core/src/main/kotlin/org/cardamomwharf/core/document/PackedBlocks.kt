/*
 * Client blocks while their table is built, each in one number: first address, prefix and zone. Sorting the numbers
 * sorts the blocks by address, and nothing is kept for each block beside its eight bytes.
 */
package org.cardamomwharf.core.document

private const val FIRST_CAPACITY = 1_024
private const val ADDRESS_BITS = 32
private const val ADDRESS_SHIFT = 24
private const val PREFIX_SHIFT = 16
private const val PREFIX_MASK = 0xFFL
private const val ZONE_MASK = 0xFFFFL

internal class PackedBlocks {
    private var numbers = LongArray(FIRST_CAPACITY)

    var size: Int = 0
        private set

    fun add(range: AddressRange, zone: Int) {
        if (size == numbers.size) numbers = numbers.copyOf(size * 2)
        val prefixBits = ADDRESS_BITS - (range.last - range.first + 1).countTrailingZeroBits()
        numbers[size++] = (range.first shl ADDRESS_SHIFT) or (prefixBits.toLong() shl PREFIX_SHIFT) or zone.toLong()
    }

    fun sort() {
        numbers.sort(0, size)
    }

    fun firstOf(index: Int): Long = numbers[index] ushr ADDRESS_SHIFT

    fun lastOf(index: Int): Long {
        val prefixBits = (numbers[index] ushr PREFIX_SHIFT) and PREFIX_MASK
        return firstOf(index) + (1L shl (ADDRESS_BITS - prefixBits.toInt())) - 1
    }

    fun zoneOf(index: Int): Int = (numbers[index] and ZONE_MASK).toInt()
}
