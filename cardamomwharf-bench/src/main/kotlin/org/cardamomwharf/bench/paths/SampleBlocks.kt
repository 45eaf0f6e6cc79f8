/*
 * Generates client blocks for the benchmarks.
 */
package org.cardamomwharf.bench.paths

import org.cardamomwharf.core.document.ClientBlock

private const val BLOCK_BITS = 24
private const val BLOCK_SIZE = 256L
private const val FIRST_ADDRESS = 0x0A000000L
private const val OCTET_BITS = 8
private const val OCTET_MASK = 0xFFL
private const val OCTETS = 4

/** Returns [count] client blocks of 256 addresses each. */
public fun sampleBlocks(count: Int): List<ClientBlock> = (0 until count).map { number ->
    ClientBlock("${getBlockAddress(number)}/$BLOCK_BITS", zones[number % zones.size])
}

/** Returns the first address of the block [number]. */
public fun getBlockAddress(number: Int): String {
    val value = FIRST_ADDRESS + number * BLOCK_SIZE
    return (OCTETS - 1 downTo 0).joinToString(".") { ((value shr (it * OCTET_BITS)) and OCTET_MASK).toString() }
}
