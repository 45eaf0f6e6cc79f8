/*
 * Instances address each other by IP address and port; host names are never resolved.
 */
package org.cardamomwharf.core

import kotlinx.serialization.Serializable

/** Represents an IP address and a port. */
@Serializable
public data class SocketAddress(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535

        /** Returns the address in [text], written as `host:port`, or null when [text] is malformed. */
        public fun parse(text: String): SocketAddress? {
            val colon = text.lastIndexOf(':')
            val port = text.substring(colon + 1).toIntOrNull()
            if (colon < 1 || port == null || port !in 1..MAX_PORT) return null
            return SocketAddress(text.substring(0, colon), port)
        }
    }
}
