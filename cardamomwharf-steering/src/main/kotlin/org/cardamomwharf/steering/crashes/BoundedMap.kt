/*
 * A map with a bounded number of entries.
 */
package org.cardamomwharf.steering.crashes

/** Keeps at most [maxEntries] entries; the one that was set or read least recently is evicted first. */
internal class BoundedMap<K, V>(
    private val maxEntries: Int,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > maxEntries

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
