/*
 * Load that a backend server reports in its responses.
 */
package org.cardamomwharf.steering.servers

/**
 * Represents the running and waiting requests and the slots of a server.
 *
 * @param slowdown current processing time as a multiple of the usual one, or null if the server doesn't report it. It
 * comes from other work on the server's machine and changes many times per second.
 */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slowdown: Double? = null,
) {
    /** Running and waiting requests. */
    public val total: Int get() = running + waiting
}
