/*
 * The keys that a backend server has recently handled for this instance, the latest last. Servers evict old keys, so
 * only the latest ones are kept.
 */
package org.cardamomwharf.steering.servers

/** Represents the keys that are probably cached on one backend server. */
public class WarmKeys {
    private val keys = LinkedHashSet<String>()

    /** Returns true when [key] was handled recently. */
    public operator fun contains(key: String): Boolean = key in keys

    /** Adds [key] as the latest one. */
    public fun add(key: String) {
        keys.remove(key)
        keys.add(key)
        if (keys.size > MAX_KEYS) keys.remove(keys.first())
    }

    /** Removes [key], which was not cached on the server. */
    public fun remove(key: String) {
        keys.remove(key)
    }

    /** Removes all keys. */
    public fun clear() {
        keys.clear()
    }

    private companion object {
        /** Maximum number of keys kept per backend server; backend servers cache fewer than 70. */
        const val MAX_KEYS = 128
    }
}
