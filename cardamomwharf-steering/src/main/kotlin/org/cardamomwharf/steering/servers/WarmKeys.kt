/*
 * The keys that a backend server has handled for this instance, the latest last. A server forgets the keys that it
 * hasn't handled for long, so only the latest ones are kept.
 */
package org.cardamomwharf.steering.servers

/** Represents the keys that are believed warm at one backend server. */
public class WarmKeys {
    private val keys = LinkedHashSet<String>()

    /** Returns true when [key] was handled recently. */
    public operator fun contains(key: String): Boolean = key in keys

    /** Notes that [key] was handled. */
    public fun add(key: String) {
        keys.remove(key)
        keys.add(key)
        if (keys.size > MAX_KEYS) keys.remove(keys.first())
    }

    /** Notes that [key] was found not to be warm. */
    public fun remove(key: String) {
        keys.remove(key)
    }

    /** Forgets all keys. */
    public fun clear() {
        keys.clear()
    }

    private companion object {
        /** Keys kept for each backend server; backend servers of today remember fewer than 70. */
        const val MAX_KEYS = 128
    }
}
